package io.umberpath.traffic;

/**
 * Limits the rate at which requests start at a backend, as a token bucket. The bucket is empty when
 * a limit begins, because the requests before it were not counted. Thread-safe.
 */
public final class RequestRateLimiter implements StartLimiter {
  /** Rate that does not limit. */
  public static final double UNLIMITED = Double.POSITIVE_INFINITY;

  /** Requests that may start at once after a pause, as the time in which the rate allows them. */
  private static final double BURST_SECONDS = 1;

  /**
   * Least rate, requests per second. The backend ends its limit in a response, so that without any
   * request a limit of 0 would never end.
   */
  private static final double MIN_PER_SECOND = 0.2;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double MICROS_PER_SECOND = 1_000_000;

  /** Tolerance for rounding when tokens are summed up. */
  private static final double EPSILON = 1e-6;

  private double perSecond = UNLIMITED;
  private double tokens;
  private long refilledMillis;
  private long refusedCount;

  /**
   * Sets the rate.
   *
   * @param newPerSecond requests per second, at least 0, or {@link #UNLIMITED}
   */
  public synchronized void setRate(long nowMillis, double newPerSecond) {
    boolean wasLimited = isLimited();
    refill(nowMillis);
    perSecond = Math.max(MIN_PER_SECOND, newPerSecond);
    refilledMillis = nowMillis;
    tokens = wasLimited ? Math.min(tokens, capacity()) : 0;
  }

  /** The enforced rate, requests per second; {@link #UNLIMITED} if there is none. */
  public synchronized double perSecond() {
    return perSecond;
  }

  /** Whether there is a limit. */
  public synchronized boolean isLimited() {
    return perSecond != UNLIMITED;
  }

  /** Requests refused while the limit did not allow a start, since the limiter was created. */
  public synchronized long refusedCount() {
    return refusedCount;
  }

  @Override
  public synchronized double intervalMillis() {
    return intervalMillis(perSecond);
  }

  /**
   * Time between two starts at a rate, milliseconds; 0 if it does not limit.
   *
   * @param perSecond requests per second, at least 0, or {@link #UNLIMITED}
   */
  public static double intervalMillis(double perSecond) {
    return perSecond == UNLIMITED ? 0 : MILLIS_PER_SECOND / Math.max(MIN_PER_SECOND, perSecond);
  }

  @Override
  public synchronized boolean canStart(long nowMillis) {
    return waitMillis(nowMillis, 0) <= 0;
  }

  @Override
  public synchronized void recordStart(long nowMillis) {
    if (isLimited()) {
      refill(nowMillis);
      tokens -= 1;
    }
  }

  @Override
  public synchronized double waitMillis(long nowMillis, int requestsAhead) {
    if (!isLimited()) {
      return 0;
    }
    refill(nowMillis);
    double missing = requestsAhead + 1 - tokens;
    return missing <= EPSILON ? 0 : missing * intervalMillis();
  }

  @Override
  public synchronized int usableSlots(long nowMillis, int slots, long serviceMicros) {
    if (!isLimited() || waitMillis(nowMillis, slots - 1) <= 0) {
      return slots;
    }
    double usable = Math.ceil(perSecond * serviceMicros / MICROS_PER_SECOND);
    return (int) Math.max(1, Math.min(slots, usable));
  }

  @Override
  public synchronized void recordRefusal(long nowMillis) {
    if (!canStart(nowMillis)) {
      refusedCount++;
    }
  }

  private double capacity() {
    return Math.max(1, perSecond * BURST_SECONDS);
  }

  private void refill(long nowMillis) {
    if (isLimited() && nowMillis > refilledMillis) {
      double added = (nowMillis - refilledMillis) / MILLIS_PER_SECOND * perSecond;
      tokens = Math.min(capacity(), tokens + added);
      refilledMillis = nowMillis;
    }
  }
}
