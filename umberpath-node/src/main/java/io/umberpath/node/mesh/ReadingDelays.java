package io.umberpath.node.mesh;

import io.umberpath.node.proxy.turn.LateTurnListener;

/** Counts the turns of selector threads that kept arrivals waiting, and tells of long ones. */
record ReadingDelays(MeshMetrics metrics, MeshEvents events) implements LateTurnListener {
  /** Length of a turn from which on it is worth a line, microseconds. */
  private static final long LINE_MICROS = 100_000;

  private static final long MICROS_PER_MILLI = 1_000;

  @Override
  public void turnEnded(long micros, int sockets) {
    metrics.turnWasLate(micros);
    if (micros >= LINE_MICROS) {
      events.readingLate(micros / MICROS_PER_MILLI, sockets);
    }
  }
}
