package io.umberpath.control;

import java.util.Optional;

/** Creates {@link ControlNode}s. */
public final class ControlNodes {
  private ControlNodes() {}

  /** Creates the only node of a process. */
  public static ControlNode create(ControlSettings settings) {
    return create(settings, new SharedStateCache());
  }

  /**
   * Creates a node that shares immutable states with others in the same process, for emulated
   * fleets.
   *
   * @param settings the node's settings
   * @param shared one instance for all nodes that share
   */
  public static ControlNode create(ControlSettings settings, SharedStateCache shared) {
    return new FleetNode(new NodeContext(settings, shared, Optional.empty()));
  }

  /** Creates a node with a deliberate fault, to prove that a checker detects it. */
  public static ControlNode createWithFault(ControlSettings settings, SeededFault fault) {
    return createWithFault(settings, new SharedStateCache(), fault);
  }

  /** As {@link #createWithFault(ControlSettings, SeededFault)}, sharing states. */
  public static ControlNode createWithFault(
      ControlSettings settings, SharedStateCache shared, SeededFault fault) {
    return new FleetNode(new NodeContext(settings, shared, Optional.of(fault)));
  }
}
