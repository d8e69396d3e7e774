package io.umberpath.traffic.simulation;

import io.umberpath.model.Verdict;
import io.umberpath.traffic.AdmissionController;
import io.umberpath.traffic.AdmissionController.AdmissionRequest;
import io.umberpath.traffic.AdmissionController.Decision;
import io.umberpath.traffic.AdmissionControllers;
import io.umberpath.traffic.AdmissionSettings;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** A backend with slots, behind the admission control of its node or an unbounded queue. */
final class SimulatedBackend {
  private record Waiting(long id, Consumer<Decision.Refused> done) {}

  private final EventLoop loop;
  private final SplittableRandom random;
  private final double serviceMicros;
  private final boolean hasAdmissionControl;
  private final AdmissionController controller =
      AdmissionControllers.create(AdmissionSettings.forSlots(Scenario.SLOTS));
  private final Deque<Waiting> unboundedQueue = new ArrayDeque<>();
  private final Map<Long, Consumer<Decision.Refused>> pending = new HashMap<>();
  private int running;

  SimulatedBackend(EventLoop loop, long seed, double serviceMicros, boolean hasAdmissionControl) {
    this.loop = loop;
    this.random = new SplittableRandom(seed);
    this.serviceMicros = serviceMicros;
    this.hasAdmissionControl = hasAdmissionControl;
    if (hasAdmissionControl) {
      tick();
    }
  }

  /** Calls {@code done} with null once the request was served, or with its refusal. */
  void handle(AdmissionRequest request, Consumer<Decision.Refused> done) {
    if (hasAdmissionControl) {
      pending.put(request.id(), done);
      apply(controller.submit(loop.nowMillis(), request));
    } else if (running < Scenario.SLOTS) {
      serveWithoutAdmission(new Waiting(request.id(), done));
    } else {
      unboundedQueue.add(new Waiting(request.id(), done));
    }
  }

  /** Running and queued requests relative to the slots, percent. */
  int load() {
    int used =
        hasAdmissionControl
            ? controller.running() + controller.queued()
            : running + unboundedQueue.size();
    return 100 * used / Scenario.SLOTS;
  }

  private void serveWithoutAdmission(Waiting waiting) {
    running++;
    loop.schedule(
        drawServiceMicros(),
        () -> {
          running--;
          if (!unboundedQueue.isEmpty()) {
            serveWithoutAdmission(unboundedQueue.poll());
          }
          waiting.done.accept(null);
        });
  }

  private void apply(List<Decision> decisions) {
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Admitted) {
        serve(decision.id());
      } else if (decision instanceof Decision.Refused refused) {
        pending.remove(decision.id()).accept(refused);
      }
    }
  }

  private void serve(long id) {
    long micros = drawServiceMicros();
    loop.schedule(
        micros,
        () -> {
          Consumer<Decision.Refused> done = pending.remove(id);
          apply(controller.release(loop.nowMillis(), id, micros));
          done.accept(null);
        });
  }

  private void tick() {
    apply(controller.tick(loop.nowMillis()));
    loop.schedule(10_000, this::tick);
  }

  private long drawServiceMicros() {
    return Math.round(-serviceMicros * Math.log(1 - random.nextDouble()));
  }

  /** The verdict for a refusal; completed if there is none. */
  static Verdict verdict(Decision.Refused refused) {
    return refused == null ? new Verdict.Completed() : new Verdict.NotRun(refused.reason());
  }
}
