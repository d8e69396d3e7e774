package io.umberpath.node.mesh;

import io.umberpath.node.proxy.loop.IterationListener;

/** Records how long event loop iterations delayed reading, and logs the long ones. */
record EventLoopDelayListener(MeshMetrics metrics, MeshEvents events) implements IterationListener {
  /** Duration from which an iteration is logged, microseconds. */
  private static final long LOG_THRESHOLD_MICROS = 100_000;

  private static final long MICROS_PER_MILLI = 1_000;

  @Override
  public void iterationEnded(long micros, int sockets) {
    metrics.recordLateIteration(micros);
    if (micros >= LOG_THRESHOLD_MICROS) {
      events.readingLate(micros / MICROS_PER_MILLI, sockets);
    }
  }
}
