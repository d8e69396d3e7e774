package io.umberpath.node.proxy;

import io.umberpath.model.Verdict;
import io.umberpath.traffic.AdmissionController;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Admits as many as there are slots and refuses the rest. */
final class SlotCounter implements AdmissionController {
  private final int slots;
  private final Set<Long> running = new HashSet<>();
  private boolean draining;

  SlotCounter(int slots) {
    this.slots = slots;
  }

  @Override
  public List<Decision> ask(long nowMillis, Ask ask) {
    if (draining) {
      return List.of(new Decision.Refused(ask.id(), Verdict.Reason.DRAINING, 0));
    }
    if (running.size() >= slots) {
      return List.of(new Decision.Refused(ask.id(), Verdict.Reason.OVERLOADED, 0));
    }
    running.add(ask.id());
    return List.of(new Decision.Admitted(ask.id()));
  }

  @Override
  public List<Decision> release(long nowMillis, long id, long serviceMicros) {
    running.remove(id);
    return List.of();
  }

  @Override
  public List<Decision> cancel(long nowMillis, long id) {
    return List.of();
  }

  @Override
  public List<Decision> tick(long nowMillis) {
    return List.of();
  }

  @Override
  public List<Decision> drain(long nowMillis) {
    draining = true;
    return List.of();
  }

  @Override
  public int running() {
    return running.size();
  }

  @Override
  public int queued() {
    return 0;
  }
}
