package io.umberpath.node.mesh;

import java.util.function.LongSupplier;

/**
 * Durations of the phases of a state transfer, milliseconds.
 *
 * @param behind from when this node learned that it is behind until the transfer started
 * @param connect until the connection was open
 * @param answer until the first byte of the response
 * @param read until the response was read completely
 * @param take until it was in force
 */
record TransferTimes(long behind, long connect, long answer, long read, long take) {

  /** Measures the phases of a transfer. */
  static final class Stopwatch {
    private final LongSupplier clockMillis;
    private final long behindMillis;
    private long lastMillis;
    private long connectMillis;
    private long responseMillis;
    private long readMillis;

    Stopwatch(LongSupplier clockMillis, long behindMillis) {
      this.clockMillis = clockMillis;
      this.behindMillis = behindMillis;
      this.lastMillis = clockMillis.getAsLong();
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
