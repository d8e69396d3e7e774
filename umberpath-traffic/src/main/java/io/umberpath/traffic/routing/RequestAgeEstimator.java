package io.umberpath.traffic.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long ago a client first sent a request. Clients of a route mostly start with the
 * same timeout and state what is left of it when they retry, so the difference to the usual timeout
 * is the age. The owner synchronizes access.
 */
public final class RequestAgeEstimator {
  private static final int MAX_ROUTES = 1_024;

  /** Relative difference up to which two timeouts count as equal. */
  private static final double TOLERANCE = 0.03;

  /** Maximum weight of the usual timeout. */
  private static final double MAX_WEIGHT = 64;

  /**
   * Weight that a different timeout takes away; small, since the remaining timeouts of retries all
   * differ.
   */
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
   * Records a request and estimates its age.
   *
   * @param timeoutMillis timeout that the client states, milliseconds
   * @return how long ago the client first sent the request, milliseconds; 0 if there is no evidence
   *     of an earlier attempt
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
