package io.umberpath.lab.simulate;

import io.umberpath.control.ControlInput;
import io.umberpath.model.ObservedBackend;
import java.util.SplittableRandom;

/**
 * Replaces back ends at a rate: the platform publishes a new revision, and the node beside the new
 * back end observes it warming up and then ready.
 */
final class EndpointChurn {
  private static final long WARM_UP_NANOS = 2 * Durations.SECOND;
  private static final int WARM_LOAD_PERCENT = 50;

  private final double perSecond;
  private final EventQueue queue;
  private final SplittableRandom random;
  private final Fleet fleet;
  private final VirtualPlatform platform;
  private final long endNanos;

  EndpointChurn(
      SimulationSettings settings,
      EventQueue queue,
      SplittableRandom random,
      Fleet fleet,
      VirtualPlatform platform) {
    this.perSecond = settings.endpointChurnPerSecond();
    this.queue = queue;
    this.random = random;
    this.fleet = fleet;
    this.platform = platform;
    this.endNanos = queue.nowNanos() + settings.durationNanos();
  }

  void start() {
    if (perSecond > 0) {
      long gap = Math.round(random.nextExponential() / perSecond * Durations.SECOND);
      queue.after(gap, this::replaceOne);
    }
  }

  private void replaceOne() {
    if (queue.nowNanos() < endNanos) {
      platform.replaceBackend().ifPresent(this::observe);
      start();
    }
  }

  private void observe(VirtualPlatform.Replacement replacement) {
    SimulatedNode node = fleet.nodes().get(replacement.node());
    state(node, replacement.id(), ObservedBackend.Phase.WARMING, 0);
    queue.after(
        WARM_UP_NANOS,
        () -> state(node, replacement.id(), ObservedBackend.Phase.READY, WARM_LOAD_PERCENT));
  }

  private void state(SimulatedNode node, String id, ObservedBackend.Phase phase, int load) {
    long counter = queue.nowNanos() / Durations.MILLI;
    fleet.handle(
        node,
        new ControlInput.BackendObserved(
            new ObservedBackend(id, node.incarnation, counter, phase, load)));
  }
}
