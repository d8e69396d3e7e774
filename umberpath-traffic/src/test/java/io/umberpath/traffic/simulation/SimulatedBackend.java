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

/** A back end with slots, behind the admission of its node or a queue without limit. */
final class SimulatedBackend {
  private record Waiting(long id, Consumer<Decision.Refused> done) {}

  private final EventLoop loop;
  private final SplittableRandom random;
  private final double serviceMicros;
  private final boolean admission;
  private final AdmissionController controller =
      AdmissionControllers.create(AdmissionSettings.forSlots(Scenario.SLOTS));
  private final Deque<Waiting> unlimited = new ArrayDeque<>();
  private final Map<Long, Consumer<Decision.Refused>> asked = new HashMap<>();
  private int running;

  SimulatedBackend(EventLoop loop, long seed, double serviceMicros, boolean admission) {
    this.loop = loop;
    this.random = new SplittableRandom(seed);
    this.serviceMicros = serviceMicros;
    this.admission = admission;
    if (admission) {
      tick();
    }
  }

  /** Calls back with null when the request was served, or with its refusal. */
  void handle(AdmissionRequest ask, Consumer<Decision.Refused> done) {
    if (admission) {
      asked.put(ask.id(), done);
      apply(controller.ask(loop.nowMillis(), ask));
    } else if (running < Scenario.SLOTS) {
      serveUnlimited(new Waiting(ask.id(), done));
    } else {
      unlimited.add(new Waiting(ask.id(), done));
    }
  }

  /** Running and queued requests over slots, percent. */
  int load() {
    int used = admission ? controller.running() + controller.queued() : running + unlimited.size();
    return 100 * used / Scenario.SLOTS;
  }

  private void serveUnlimited(Waiting waiting) {
    running++;
    loop.after(
        drawService(),
        () -> {
          running--;
          if (!unlimited.isEmpty()) {
            serveUnlimited(unlimited.poll());
          }
          waiting.done.accept(null);
        });
  }

  private void apply(List<Decision> decisions) {
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Admitted) {
        serve(decision.id());
      } else if (decision instanceof Decision.Refused refused) {
        asked.remove(decision.id()).accept(refused);
      }
    }
  }

  private void serve(long id) {
    long micros = drawService();
    loop.after(
        micros,
        () -> {
          Consumer<Decision.Refused> done = asked.remove(id);
          apply(controller.release(loop.nowMillis(), id, micros));
          done.accept(null);
        });
  }

  private void tick() {
    apply(controller.tick(loop.nowMillis()));
    loop.after(10_000, this::tick);
  }

  private long drawService() {
    return Math.round(-serviceMicros * Math.log(1 - random.nextDouble()));
  }

  /** The verdict that a refusal stands for. */
  static Verdict verdict(Decision.Refused refused) {
    return refused == null ? new Verdict.Completed() : new Verdict.NotRun(refused.reason());
  }
}
