package io.umberpath.control;

import java.util.Optional;

/** Creates {@link ControlNode}s. */
public final class ControlNodes {
  private ControlNodes() {}

  /** A node for a process of its own. */
  public static ControlNode create(ControlSettings settings) {
    return create(settings, new SharedStates());
  }

  /**
   * A node that shares immutable states with others in the same process, for emulated fleets.
   *
   * @param settings the node's settings
   * @param shared one instance for all nodes that share
   */
  public static ControlNode create(ControlSettings settings, SharedStates shared) {
    return new FleetNode(new NodeContext(settings, shared, Optional.empty()));
  }

  /** A node with a known-wrong behaviour; only for proving that a checker catches it. */
  public static ControlNode createWithFault(ControlSettings settings, SeededFault fault) {
    return createWithFault(settings, new SharedStates(), fault);
  }

  /** As {@link #createWithFault(ControlSettings, SeededFault)}, sharing states. */
  public static ControlNode createWithFault(
      ControlSettings settings, SharedStates shared, SeededFault fault) {
    return new FleetNode(new NodeContext(settings, shared, Optional.of(fault)));
  }
}
