package io.umberpath.lab.simulate;

import io.umberpath.control.ControlNodes;
import io.umberpath.control.SeededFault;
import io.umberpath.control.SharedStateCache;
import io.umberpath.lab.simulate.SimulationSettings.Subject;
import io.umberpath.lab.simulate.baseline.CentralServerNode;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Supplier;

/** Chooses the state machine that a simulation runs. */
final class StateMachines {
  private static final int SHARED_RESULTS = 256;

  private StateMachines() {}

  static ControlNodeFactory factory(Subject subject) {
    return switch (subject.kind()) {
      case PRODUCT -> product(subject);
      case PUSH_ALL -> settings -> new CentralServerNode(settings, true);
      case POLLING -> settings -> new CentralServerNode(settings, false);
    };
  }

  private static ControlNodeFactory product(Subject subject) {
    Optional<SeededFault> fault = subject.seededFault().map(StateMachines::fault);
    SharedStateCache common = new SharedStateCache(SHARED_RESULTS);
    Supplier<SharedStateCache> states =
        subject.sharesStates() ? () -> common : SharedStateCache::new;
    return fault.isEmpty()
        ? settings -> ControlNodes.create(settings, states.get())
        : settings -> ControlNodes.createWithFault(settings, states.get(), fault.get());
  }

  private static SeededFault fault(String name) {
    return Arrays.stream(SeededFault.values())
        .filter(fault -> fault.name().equals(name))
        .findFirst()
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    "--seeded-fault '"
                        + name
                        + "' is not one of "
                        + Arrays.toString(SeededFault.values())));
  }
}
