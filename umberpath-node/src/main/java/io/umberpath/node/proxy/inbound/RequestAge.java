package io.umberpath.node.proxy.inbound;

/**
 * How old a request is, counted from the earliest moment at which it can have arrived.
 *
 * @param arrivedNanos that moment, on {@link System#nanoTime}
 * @param readNanos when its head was decoded, on the same clock
 */
public record RequestAge(long arrivedNanos, long readNanos) {
  private static final long NANOS_PER_MICRO = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  static RequestAge readNow(long arrivedNanos) {
    return new RequestAge(arrivedNanos, System.nanoTime());
  }

  /** Microseconds since its head was decoded. */
  long sinceReadMicros() {
    return (System.nanoTime() - readNanos) / NANOS_PER_MICRO;
  }

  /** For how long it may have lain unread, milliseconds; an upper bound. */
  public long unreadMillis() {
    return (readNanos - arrivedNanos) / NANOS_PER_MILLI;
  }
}
