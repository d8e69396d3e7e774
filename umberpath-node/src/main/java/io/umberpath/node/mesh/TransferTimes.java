package io.umberpath.node.mesh;

import java.util.function.LongSupplier;

/**
 * Where the time of one transfer of state went, milliseconds.
 *
 * @param behind from when this node heard that it is behind until the transfer began
 * @param connect until the connection was open
 * @param answer until the first byte of the answer
 * @param read until the answer was read whole
 * @param take until it was in force
 */
record TransferTimes(long behind, long connect, long answer, long read, long take) {

  /** Measures the steps of one transfer as they end. */
  static final class Clock {
    private final LongSupplier clockMillis;
    private final long behind;
    private long lastMillis;
    private long connect;
    private long answer;
    private long read;

    Clock(LongSupplier clockMillis, long behindMillis) {
      this.clockMillis = clockMillis;
      this.behind = behindMillis;
      this.lastMillis = clockMillis.getAsLong();
    }

    private long step() {
      long before = lastMillis;
      lastMillis = clockMillis.getAsLong();
      return lastMillis - before;
    }

    void connected() {
      connect = step();
    }

    void answerBegins() {
      answer = step();
    }

    void answerRead() {
      read = step();
    }

    TransferTimes taken() {
      return new TransferTimes(behind, connect, answer, read, step());
    }
  }
}
