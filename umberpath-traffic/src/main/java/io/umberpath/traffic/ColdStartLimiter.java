package io.umberpath.traffic;

/**
 * Bounds how many requests a back end is given while it is cold: above that rate it falls over. A
 * token bucket, because both a sustained rate and the count of any one second are bounded. While
 * the back end is warm nothing is bounded. Thread-safe.
 */
public final class ColdStartLimiter {
  /**
   * What a cold back end may get in any second: {@code perSecond x overage + slack}.
   *
   * @param overage factor of its rate
   * @param slack requests beyond that
   */
  public record Bounds(double overage, double slack) {
    /** Nothing beyond the rate itself. */
    public static final Bounds RATE_ALONE = new Bounds(1, 0);
  }

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double MICROS_PER_SECOND = 1_000_000;

  /** Share of the bound that is used, so that two that arrive closer than they were sent fit. */
  private static final double SAFE_SHARE = 0.9;

  private final Bounds bounds;
  private long coldUntilMillis = Long.MIN_VALUE;
  private double perSecond;
  private double burst;
  private double tokens;
  private long filledMillis;

  /** Creates the limiter of a back end that is warm. */
  public ColdStartLimiter(Bounds bounds) {
    this.bounds = bounds;
  }

  /**
   * The back end is cold.
   *
   * @param untilMillis until when at least
   * @param coldPerSecond requests a second that it bears; 0 for any number
   */
  public synchronized void cold(long nowMillis, long untilMillis, double coldPerSecond) {
    if (coldPerSecond <= 0 || untilMillis <= nowMillis) {
      return;
    }
    if (!isCold(nowMillis)) {
      // What was begun just before counts in the same second.
      tokens = 1;
      filledMillis = nowMillis;
    }
    double bound = Math.max(1, SAFE_SHARE * (coldPerSecond * bounds.overage() + bounds.slack()));
    burst = Math.max(1, Math.min(bounds.slack(), bound / 2));
    perSecond = Math.max(1, Math.min(coldPerSecond, bound - burst));
    coldUntilMillis = Math.max(coldUntilMillis, untilMillis);
  }

  /** Whether the back end is cold. */
  public synchronized boolean isCold(long nowMillis) {
    return nowMillis < coldUntilMillis;
  }

  /** Whether one more request may begin. */
  public synchronized boolean mayBegin(long nowMillis) {
    if (!isCold(nowMillis)) {
      return true;
    }
    fill(nowMillis);
    return tokens >= 1;
  }

  /** A request begins. */
  public synchronized void begins(long nowMillis) {
    if (isCold(nowMillis)) {
      fill(nowMillis);
      tokens = Math.max(0, tokens - 1);
    }
  }

  /** Time until a request may begin that so many others are ahead of, milliseconds. */
  public synchronized double waitMillis(long nowMillis, int ahead) {
    if (!isCold(nowMillis)) {
      return 0;
    }
    fill(nowMillis);
    double missing = Math.max(0, ahead + 1 - tokens);
    double untilWarm = coldUntilMillis - nowMillis;
    return Math.min(untilWarm, missing * MILLIS_PER_SECOND / perSecond);
  }

  /**
   * How many requests at a time the rate makes for, of so many slots.
   *
   * @param serviceMicros mean time that a request holds a slot, microseconds
   */
  public synchronized int usableSlots(long nowMillis, int slots, long serviceMicros) {
    if (!isCold(nowMillis)) {
      return slots;
    }
    int usable = (int) Math.floor(perSecond * serviceMicros / MICROS_PER_SECOND);
    return Math.max(1, Math.min(slots, usable));
  }

  private void fill(long nowMillis) {
    double filled = (nowMillis - filledMillis) * perSecond / MILLIS_PER_SECOND;
    tokens = Math.min(burst, tokens + filled);
    filledMillis = nowMillis;
  }
}
