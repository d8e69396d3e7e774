package io.umberpath.traffic;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Times at which refused clients of a rate-limited backend may return, spaced like the starts that
 * the rate allows. A request that is refused in several attempts keeps its time. The owner
 * synchronizes access.
 */
final class RetrySchedule {
  /** Requests whose time is remembered; more than return within the longest deadlines. */
  private static final int MAX_RESERVATIONS = 1_024;

  private final Map<String, Double> reservedMillis =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
          return size() > MAX_RESERVATIONS;
        }
      };

  private double nextFreeMillis = Double.NEGATIVE_INFINITY;

  /**
   * Returns the earliest time that is not reserved for another request, and reserves it if the
   * client can still use it.
   *
   * @param earliestMillis when the next start is free behind all queued requests
   * @param intervalMillis time between two starts
   * @param latestMillis latest time at which the request is still useful
   */
  double reserve(
      String requestId, double earliestMillis, double intervalMillis, double latestMillis) {
    Double held = reservedMillis.get(requestId);
    if (held != null && held > earliestMillis - intervalMillis) {
      return held;
    }
    double freeMillis = Math.max(nextFreeMillis, earliestMillis);
    if (freeMillis <= latestMillis) {
      nextFreeMillis = freeMillis + intervalMillis;
      reservedMillis.put(requestId, freeMillis);
    }
    return freeMillis;
  }
}
