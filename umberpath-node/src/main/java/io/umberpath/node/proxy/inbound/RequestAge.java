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

  /**
   * Whether its caller has given up. What has not begun is given up at the earliest deadline. Work
   * that may have begun goes on until the latest one, that of a request sent just before it was
   * read: its caller may still wait.
   */
  boolean isPastDeadline(RequestPlan plan, ExchangeStage stage, long nowMillis) {
    long spreadMillis = plan.unreadBeforeMillis() + unreadMillis();
    long graceMillis = stage.mayHaveReachedOrigin() ? spreadMillis : 0;
    return nowMillis >= plan.deadlineMillis() + graceMillis;
  }

  /** For how long it may have lain unread, milliseconds; an upper bound. */
  public long unreadMillis() {
    return (readNanos - arrivedNanos) / NANOS_PER_MILLI;
  }
}
