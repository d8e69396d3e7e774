package io.umberpath.lab.simulate;

import io.umberpath.control.ControlNode;
import io.umberpath.control.ControlSettings;

/** Creates the state machine of one process. */
@FunctionalInterface
interface ControlNodeFactory {
  ControlNode create(ControlSettings settings);
}
