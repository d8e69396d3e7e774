package io.umberpath.traffic;

import io.umberpath.model.Verdict.Reason;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Slots with a bounded queue in the order requests are due. Since what is due moves on with time,
 * nothing starves: a request that has waited long is due before all that come later. Owner
 * synchronizes.
 *
 * <p>Invariant: a request waits only while every slot is taken.
 */
final class DueOrderAdmissionController implements AdmissionController {
  private static final double MICROS_PER_MILLI = 1_000.0;
  private static final Comparator<Ask> DUE_FIRST =
      Comparator.comparingLong(Ask::dueMillis).thenComparingLong(Ask::id);

  private final AdmissionSettings settings;
  private final ServiceTimeEstimate service;
  private final TreeSet<Ask> queue = new TreeSet<>(DUE_FIRST);
  private final Set<Long> running = new HashSet<>();
  private int slots;
  private boolean draining;

  DueOrderAdmissionController(AdmissionSettings settings) {
    this.settings = settings;
    this.slots = settings.slots();
    this.service = new ServiceTimeEstimate(settings.initialServiceMicros());
  }

  @Override
  public List<Decision> ask(long nowMillis, Ask ask) {
    if (draining) {
      return List.of(new Decision.Refused(ask.id(), Reason.DRAINING, 0));
    }
    if (ask.deadlineMillis() <= nowMillis) {
      return List.of(new Decision.Refused(ask.id(), Reason.DEADLINE, 0));
    }
    if (running.size() < slots) {
      running.add(ask.id());
      return List.of(new Decision.Admitted(ask.id()));
    }
    double waitMillis = waitMillis(queue.headSet(ask).size());
    boolean tooLong = waitMillis > ask.toleratedWaitMillis();
    if (tooLong || queue.size() >= settings.queueLimit() || !canBeMet(nowMillis, ask, waitMillis)) {
      return List.of(overloaded(ask));
    }
    queue.add(ask);
    return List.of(new Decision.Queued(ask.id()));
  }

  @Override
  public List<Decision> release(long nowMillis, long id, long serviceMicros) {
    if (!running.remove(id)) {
      return List.of();
    }
    if (serviceMicros > 0) {
      service.add(serviceMicros);
    }
    return dispatch(nowMillis);
  }

  @Override
  public List<Decision> cancel(long nowMillis, long id) {
    boolean waited = queue.removeIf(ask -> ask.id() == id);
    return waited ? List.of(new Decision.Refused(id, Reason.CANCELLED, 0)) : List.of();
  }

  @Override
  public List<Decision> tick(long nowMillis) {
    List<Decision> decisions = new ArrayList<>();
    for (Iterator<Ask> waiting = queue.iterator(); waiting.hasNext(); ) {
      Ask ask = waiting.next();
      if (!canBeMet(nowMillis, ask, 0)) {
        waiting.remove();
        decisions.add(new Decision.Refused(ask.id(), Reason.DEADLINE, 0));
      }
    }
    return decisions;
  }

  @Override
  public List<Decision> drain(long nowMillis) {
    draining = true;
    List<Decision> decisions = new ArrayList<>();
    for (Ask ask : queue) {
      decisions.add(new Decision.Refused(ask.id(), Reason.DRAINING, 0));
    }
    queue.clear();
    return decisions;
  }

  @Override
  public List<Decision> resize(long nowMillis, int newSlots) {
    Settings.atLeast("slots", newSlots, 1);
    slots = newSlots;
    return dispatch(nowMillis);
  }

  @Override
  public int running() {
    return running.size();
  }

  @Override
  public int queued() {
    return queue.size();
  }

  @Override
  public long meanServiceMicros() {
    return Math.round(service.meanMicros());
  }

  private List<Decision> dispatch(long nowMillis) {
    List<Decision> decisions = new ArrayList<>();
    while (running.size() < slots && !queue.isEmpty()) {
      Ask next = queue.pollFirst();
      if (canBeMet(nowMillis, next, 0)) {
        running.add(next.id());
        decisions.add(new Decision.Admitted(next.id()));
      } else {
        decisions.add(new Decision.Refused(next.id(), Reason.DEADLINE, 0));
      }
    }
    return decisions;
  }

  private boolean canBeMet(long nowMillis, Ask ask, double waitMillis) {
    double needed = waitMillis + ask.expectedMicros() / MICROS_PER_MILLI;
    return nowMillis < ask.deadlineMillis() && nowMillis + needed <= ask.deadlineMillis();
  }

  /** Expected wait behind so many, and one running to end. */
  private double waitMillis(int ahead) {
    return (ahead + 1) * service.meanMicros() / slots / MICROS_PER_MILLI;
  }

  private Decision overloaded(Ask ask) {
    long retryAfter =
        Math.max(settings.minRetryAfterMillis(), Math.round(waitMillis(queue.size())));
    return new Decision.Refused(
        ask.id(), Reason.OVERLOADED, Math.min(settings.maxRetryAfterMillis(), retryAfter));
  }
}
