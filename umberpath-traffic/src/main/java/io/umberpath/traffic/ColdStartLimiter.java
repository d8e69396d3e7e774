package io.umberpath.traffic;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds how many requests a back end is given while it is cold: above that it falls over. Counts
 * what was begun in the last second, so that the whole bound can be used, and in a part of it, so
 * that it is used evenly: what came after a burst would wait for most of a second. While the back
 * end is warm nothing is bounded, but what is begun counts as soon as it turns cold. Thread-safe.
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

    /** Most requests in a second; at least one, or the back end would never turn warm in use. */
    private int limitPerSecond(double perSecond) {
      return (int) Math.max(1, Math.floor(perSecond * overage + slack));
    }
  }

  /** The bound holds for any second. */
  private static final long BOUND_MILLIS = 1_000;

  /**
   * Longest time between a request's beginning and its bytes' arrival at the back end,
   * milliseconds: a connection is opened, and the process may stand still for a collection.
   * Requests begun a second apart then still arrive within one second; so what was begun counts
   * that much longer.
   */
  private static final long MAX_TRANSIT_MILLIS = 100;

  private static final long WINDOW_MILLIS = BOUND_MILLIS + MAX_TRANSIT_MILLIS;

  /** Parts of the window in which as much may begin: a caller bears a wait of one of them. */
  private static final int SLICES = 4;

  private static final long SLICE_MILLIS = WINDOW_MILLIS / SLICES;
  private static final double MICROS_PER_MILLI = 1_000;

  /** Beginnings that are remembered while the back end is warm: more than any bound. */
  private static final int MAX_START_TIMES = 1_024;

  private final Bounds bounds;
  private final Deque<Long> startTimesMillis = new ArrayDeque<>();
  private final long historyStartMillis;
  private long coldUntilMillis = Long.MIN_VALUE;
  private int limitPerSecond = 1;

  /**
   * Creates the limiter of a back end that is warm.
   *
   * @param nowMillis what was begun before is not known: an earlier process may have used the bound
   */
  public ColdStartLimiter(Bounds bounds, long nowMillis) {
    this.bounds = bounds;
    this.historyStartMillis = nowMillis;
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
    limitPerSecond = bounds.limitPerSecond(coldPerSecond);
    coldUntilMillis = Math.max(coldUntilMillis, untilMillis);
  }

  /** Whether the back end is cold. */
  public synchronized boolean isCold(long nowMillis) {
    return nowMillis < coldUntilMillis;
  }

  /** Whether one more request may begin. */
  public synchronized boolean canStart(long nowMillis) {
    return !isCold(nowMillis) || waitMillis(nowMillis, 0) <= 0;
  }

  /** A request begins. */
  public synchronized void recordStart(long nowMillis) {
    removeExpired(nowMillis);
    if (startTimesMillis.size() == MAX_START_TIMES) {
      startTimesMillis.removeFirst();
    }
    startTimesMillis.addLast(nowMillis);
  }

  /** Time until a request may begin that so many others are ahead of, milliseconds. */
  public synchronized double waitMillis(long nowMillis, int ahead) {
    if (!isCold(nowMillis)) {
      return 0;
    }
    removeExpired(nowMillis);
    double windowWaitMillis =
        millisUntilAllowed(nowMillis, ahead + 1, WINDOW_MILLIS, windowLimit(nowMillis));
    double sliceWaitMillis = millisUntilAllowed(nowMillis, ahead + 1, SLICE_MILLIS, sliceLimit());
    return Math.min(coldUntilMillis - nowMillis, Math.max(windowWaitMillis, sliceWaitMillis));
  }

  /** Time until so many more are within what may begin in a span of time, milliseconds. */
  private double millisUntilAllowed(long nowMillis, int more, long spanMillis, double allowed) {
    long[] recent =
        startTimesMillis.stream()
            .filter(start -> start > nowMillis - spanMillis)
            .mapToLong(l -> l)
            .toArray();
    int excess = (int) Math.ceil(recent.length + more - allowed);
    if (excess <= 0) {
      return 0;
    }
    if (excess <= recent.length) {
      return recent[excess - 1] + spanMillis - nowMillis;
    }
    double perMilli = limitPerSecond / (double) WINDOW_MILLIS;
    double sinceLast = recent.length == 0 ? 0 : recent[recent.length - 1] + spanMillis - nowMillis;
    return sinceLast + (excess - recent.length) / perMilli;
  }

  private int sliceLimit() {
    return (limitPerSecond + SLICES - 1) / SLICES;
  }

  /**
   * How many requests at a time the bound makes for, of so many slots: all while that many more may
   * begin at once, else as many as its rate keeps busy.
   *
   * @param serviceMicros mean time that a request holds a slot, microseconds
   */
  public synchronized int usableSlots(long nowMillis, int slots, long serviceMicros) {
    if (!isCold(nowMillis) || waitMillis(nowMillis, slots - 1) <= 0) {
      return slots;
    }
    int usable = (int) Math.ceil(limitPerSecond * serviceMicros / MICROS_PER_MILLI / WINDOW_MILLIS);
    return Math.max(1, Math.min(slots, usable));
  }

  /** What may begin in a window; less while an earlier process may have begun some of it. */
  private double windowLimit(long nowMillis) {
    double unknownShare =
        Math.max(0, historyStartMillis + WINDOW_MILLIS - nowMillis) / (double) WINDOW_MILLIS;
    return limitPerSecond * (1 - unknownShare);
  }

  private void removeExpired(long nowMillis) {
    while (!startTimesMillis.isEmpty()
        && startTimesMillis.peekFirst() <= nowMillis - WINDOW_MILLIS) {
      startTimesMillis.removeFirst();
    }
  }
}
