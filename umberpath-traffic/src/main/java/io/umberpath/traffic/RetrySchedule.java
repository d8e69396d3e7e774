package io.umberpath.traffic;

/**
 * Times at which refused clients of a rate-limited backend may return, spaced like the starts that
 * the rate allows. The owner synchronizes access.
 */
final class RetrySchedule {
  private double nextFreeMillis = Double.NEGATIVE_INFINITY;

  /**
   * Returns the earliest time that is not reserved for another client, and reserves it if the
   * client can still use it.
   *
   * @param earliestMillis when the next start is free behind all queued requests
   * @param intervalMillis time between two starts
   * @param latestMillis latest time at which the client's request is still useful
   */
  double reserve(double earliestMillis, double intervalMillis, double latestMillis) {
    double freeMillis = Math.max(nextFreeMillis, earliestMillis);
    if (freeMillis <= latestMillis) {
      nextFreeMillis = freeMillis + intervalMillis;
    }
    return freeMillis;
  }
}
