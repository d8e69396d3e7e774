package io.umberpath.traffic;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the request rate of a backend during its warm-up, above which it would fail. Counts the
 * requests started in the last second, so that the whole limit can be used, and also those in a
 * slice of it, so that it is used evenly: otherwise requests after a burst would wait for most of a
 * second. A warm backend is not limited, but its starts are recorded and count as soon as it turns
 * cold. Thread-safe.
 */
public final class ColdStartLimiter implements StartLimiter {
  /**
   * Limit of a cold backend in any second: {@code perSecond x overage + slack}.
   *
   * @param overage factor on its rate
   * @param slack additional requests
   */
  public record Bounds(double overage, double slack) {
    /** The plain rate without overage or slack. */
    public static final Bounds RATE_ALONE = new Bounds(1, 0);

    /**
     * Largest number of requests in a second; at least one, or a backend that warms up by use would
     * stay cold.
     */
    private int limitPerSecond(double perSecond) {
      return (int) Math.max(1, Math.floor(perSecond * overage + slack));
    }
  }

  /** The limit applies to any interval of this length. */
  private static final long LIMIT_INTERVAL_MILLIS = 1_000;

  /**
   * Longest time between the start of a request and its arrival at the backend, milliseconds: a
   * connection may have to be opened, and the process may pause for garbage collection. Requests
   * started a second apart could arrive within one second, so starts are counted for this much
   * longer.
   */
  private static final long MAX_TRANSIT_MILLIS = 100;

  private static final long WINDOW_MILLIS = LIMIT_INTERVAL_MILLIS + MAX_TRANSIT_MILLIS;

  /**
   * Slices of the window with an equal limit each; a wait of one slice is acceptable to a client.
   */
  private static final int SLICES = 4;

  private static final long SLICE_MILLIS = WINDOW_MILLIS / SLICES;
  private static final double MICROS_PER_MILLI = 1_000;

  /** Start times kept while the backend is warm: more than any limit. */
  private static final int MAX_START_TIMES = 1_024;

  private final Bounds bounds;
  private final Deque<Long> startTimesMillis = new ArrayDeque<>();
  private final long historyStartMillis;
  private long coldUntilMillis = Long.MIN_VALUE;
  private int limitPerSecond = 1;

  /**
   * Creates the limiter of a warm backend.
   *
   * @param nowMillis starts before this time are not known: an earlier process may have used up the
   *     limit
   */
  public ColdStartLimiter(Bounds bounds, long nowMillis) {
    this.bounds = bounds;
    this.historyStartMillis = nowMillis;
  }

  /**
   * Marks the backend as cold.
   *
   * @param untilMillis earliest end of its warm-up
   * @param coldPerSecond requests a second that it can take; 0 for no limit
   */
  public synchronized void markCold(long nowMillis, long untilMillis, double coldPerSecond) {
    if (coldPerSecond <= 0 || untilMillis <= nowMillis) {
      return;
    }
    limitPerSecond = bounds.limitPerSecond(coldPerSecond);
    coldUntilMillis = Math.max(coldUntilMillis, untilMillis);
  }

  /** Whether the backend is cold. */
  public synchronized boolean isCold(long nowMillis) {
    return nowMillis < coldUntilMillis;
  }

  @Override
  public synchronized boolean canStart(long nowMillis) {
    return !isCold(nowMillis) || waitMillis(nowMillis, 0) <= 0;
  }

  @Override
  public synchronized void recordStart(long nowMillis) {
    removeExpired(nowMillis);
    if (startTimesMillis.size() == MAX_START_TIMES) {
      startTimesMillis.removeFirst();
    }
    startTimesMillis.addLast(nowMillis);
  }

  @Override
  public synchronized double waitMillis(long nowMillis, int requestsAhead) {
    if (!isCold(nowMillis)) {
      return 0;
    }
    removeExpired(nowMillis);
    double windowWaitMillis =
        millisUntilAllowed(nowMillis, requestsAhead + 1, WINDOW_MILLIS, windowLimit(nowMillis));
    double sliceWaitMillis =
        millisUntilAllowed(nowMillis, requestsAhead + 1, SLICE_MILLIS, sliceLimit());
    return Math.min(coldUntilMillis - nowMillis, Math.max(windowWaitMillis, sliceWaitMillis));
  }

  /** Time until that many more requests fit into the limit of a time span, milliseconds. */
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

  @Override
  public synchronized int usableSlots(long nowMillis, int slots, long serviceMicros) {
    if (!isCold(nowMillis) || waitMillis(nowMillis, slots - 1) <= 0) {
      return slots;
    }
    int usable = (int) Math.ceil(limitPerSecond * serviceMicros / MICROS_PER_MILLI / WINDOW_MILLIS);
    return Math.max(1, Math.min(slots, usable));
  }

  /**
   * Requests that may start in a window; fewer while an earlier process may have started some of
   * them.
   */
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
