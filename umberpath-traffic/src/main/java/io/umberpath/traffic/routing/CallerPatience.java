package io.umberpath.traffic.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells how long ago a caller first asked: callers of a route mostly give the same time at first,
 * and what is left of it when they come back. Owner synchronizes.
 */
public final class CallerPatience {
  private static final int MAX_ROUTES = 1_024;

  /** Share by which times that count as the same may differ. */
  private static final double TOLERANCE = 0.03;

  /** Votes that a time can gather. */
  private static final double MAX_WEIGHT = 64;

  /** What another time takes from them: the times of those who come back differ. */
  private static final double MISMATCH_WEIGHT = 0.25;

  private static final class UsualTimeout {
    private long millis;
    private double weight;

    void add(long timeoutMillis) {
      if (Math.abs(timeoutMillis - millis) <= TOLERANCE * millis) {
        weight = Math.min(MAX_WEIGHT, weight + 1);
        millis = Math.max(millis, timeoutMillis);
        return;
      }
      weight -= MISMATCH_WEIGHT;
      if (weight <= 0) {
        millis = timeoutMillis;
        weight = 1;
      }
    }
  }

  private final Map<String, UsualTimeout> byRoute = new HashMap<>();

  /**
   * Takes a request.
   *
   * @param timeoutMillis time that its caller gives
   * @return how long ago the caller first asked, milliseconds; 0 if nothing speaks for more
   */
  public long ageMillis(String route, long timeoutMillis) {
    if (byRoute.size() >= MAX_ROUTES && !byRoute.containsKey(route)) {
      byRoute.clear();
    }
    UsualTimeout usualTimeout = byRoute.computeIfAbsent(route, absent -> new UsualTimeout());
    usualTimeout.add(timeoutMillis);
    long age = usualTimeout.millis - timeoutMillis;
    return age > TOLERANCE * usualTimeout.millis ? age : 0;
  }
}
