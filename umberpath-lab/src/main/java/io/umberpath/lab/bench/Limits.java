package io.umberpath.lab.bench;

/** Limits of the figures. */
final class Limits {
  /** From an operator's call until a change is in force on every proxy, milliseconds. */
  static final double CONVERGENCE_MILLIS = 18_000;

  /** Control traffic of a node, both ways. */
  static final double CONTROL_KIB_PER_SECOND = 21;

  /** Processor time of a node for control. */
  static final double CONTROL_CORE_PERCENT = 2.2;

  /** Memory of a node. */
  static final double CONTROL_MEMORY_MIB = 256;

  /** Latency that the proxies add at the 99th percentile, milliseconds. */
  static final double ADDED_P99_MILLIS = 0.46;

  /** From the acceptance of a drain until the back end receives no new work, milliseconds. */
  static final double DRAIN_MILLIS = 5_000;

  private Limits() {}
}
