package io.umberpath.lab.simulate;

import io.umberpath.lab.simulate.SimulationSettings.Subject;
import io.umberpath.lab.simulate.baseline.CentralServerNode;

/** Chooses the state machine that a simulation runs. */
final class StateMachines {
  private StateMachines() {}

  static ControlNodeFactory factory(Subject subject) {
    return switch (subject.kind()) {
      case PRODUCT -> throw new IllegalArgumentException("the control node is not here yet");
      case PUSH_ALL -> settings -> new CentralServerNode(settings, true);
      case POLLING -> settings -> new CentralServerNode(settings, false);
    };
  }
}
