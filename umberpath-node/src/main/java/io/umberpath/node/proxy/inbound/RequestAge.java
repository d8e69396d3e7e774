package io.umberpath.node.proxy.inbound;

/**
 * The age of a request, counted from the earliest time at which it can have arrived.
 *
 * @param arrivedNanos that time, on {@link System#nanoTime}
 * @param readNanos when its head was decoded, on the same clock
 */
public record RequestAge(long arrivedNanos, long readNanos) {
  private static final long NANOS_PER_MICRO = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Time after the deadline for the rest of a response that is being sent, milliseconds. A request
   * has to end within half a second after the timeout of its route; the difference is left for
   * detection and the way to the client.
   */
  private static final long MAX_OVERRUN_MILLIS = 200;

  static RequestAge readNow(long arrivedNanos) {
    return new RequestAge(arrivedNanos, System.nanoTime());
  }

  /** Microseconds since the head was decoded. */
  long sinceReadMicros() {
    return (System.nanoTime() - readNanos) / NANOS_PER_MICRO;
  }

  /**
   * Whether the client's deadline has passed. The arrival time is known only as a range: a request
   * that has not started fails at the earliest possible deadline, one that may have started at the
   * latest (if it was sent just before it was read), since its client may still wait.
   */
  boolean isPastDeadline(RequestPlan plan, ExchangeStage stage, long nowMillis) {
    long spreadMillis = plan.unreadBeforeMillis() + unreadMillis();
    long graceMillis = stage.mayHaveReachedOrigin() ? spreadMillis : 0;
    return nowMillis >= plan.deadlineMillis() + graceMillis;
  }

  /** Whether also the time for the rest of a response that is being sent has passed. */
  boolean isPastOverrun(RequestPlan plan, ExchangeStage stage, long nowMillis) {
    return isPastDeadline(plan, stage, nowMillis - MAX_OVERRUN_MILLIS);
  }

  /** Upper bound of the time for which the request was waiting unread, milliseconds. */
  public long unreadMillis() {
    return (readNanos - arrivedNanos) / NANOS_PER_MILLI;
  }
}
