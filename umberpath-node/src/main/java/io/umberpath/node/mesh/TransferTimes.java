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

  /** Phase of a transfer. */
  enum Phase {
    CONNECT,
    /** Waits for the first byte of the response. */
    RESPONSE,
    READ,
    ADOPT
  }

  /** Measures the phases of a transfer. */
  static final class Stopwatch {
    private final LongSupplier clockMillis;
    private final long behindMillis;
    private final long startedMillis;
    private Phase phase = Phase.CONNECT;
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

    /** The phase that the transfer is in. */
    Phase phase() {
      return phase;
    }

    private long lap() {
      long previousMillis = lastMillis;
      lastMillis = clockMillis.getAsLong();
      return lastMillis - previousMillis;
    }

    void connected() {
      connectMillis = lap();
      phase = Phase.RESPONSE;
    }

    void responseStarted() {
      responseMillis = lap();
      phase = Phase.READ;
    }

    void responseRead() {
      readMillis = lap();
      phase = Phase.ADOPT;
    }

    TransferTimes adopted() {
      return new TransferTimes(behindMillis, connectMillis, responseMillis, readMillis, lap());
    }
  }
}
