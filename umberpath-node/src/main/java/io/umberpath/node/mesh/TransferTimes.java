package io.umberpath.node.mesh;

import java.util.function.LongSupplier;

/**
 * Durations of the phases of a state transfer, milliseconds.
 *
 * @param behindMillis from when this node learned that it is behind until the transfer started
 * @param connectMillis until the connection was open
 * @param responseMillis until the first byte of the response
 * @param readMillis until the response was read completely
 * @param adoptMillis until it was in force
 */
record TransferTimes(
    long behindMillis, long connectMillis, long responseMillis, long readMillis, long adoptMillis) {

  /** Measures the phases of a transfer. */
  static final class Stopwatch {
    private final LongSupplier clockMillis;
    private final long behindMillis;
    private final long startedMillis;
    private long lastMillis;
    private long connectMillis;
    private long responseMillis;
    private long readMillis;

    Stopwatch(LongSupplier clockMillis, long behindMillis) {
      this.clockMillis = clockMillis;
      this.behindMillis = behindMillis;
      this.startedMillis = clockMillis.getAsLong();
      this.lastMillis = startedMillis;
    }

    /** Time since the transfer started, milliseconds. */
    long elapsedMillis() {
      return clockMillis.getAsLong() - startedMillis;
    }

    private long lap() {
      long previousMillis = lastMillis;
      lastMillis = clockMillis.getAsLong();
      return lastMillis - previousMillis;
    }

    void connected() {
      connectMillis = lap();
    }

    void responseStarted() {
      responseMillis = lap();
    }

    void responseRead() {
      readMillis = lap();
    }

    TransferTimes adopted() {
      return new TransferTimes(behindMillis, connectMillis, responseMillis, readMillis, lap());
    }
  }
}
