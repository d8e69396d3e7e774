package io.umberpath.control.store;

/**
 * Timing of a {@link StoreWatcher}.
 *
 * @param waitMillis mean time that a watch may wait for a change, milliseconds
 * @param waitJitter fraction by which each wait is randomly shortened or lengthened
 * @param pauseMillis pause after a watch returned changes, so that a burst is returned in one
 *     response
 * @param fastPollPauseMillis the same while fast polls are available
 * @param fastPolls number of short pauses available after a quiet time; one is refilled every
 *     {@code fastPollRefillMillis}
 * @param fastPollRefillMillis time in which one fast poll is refilled
 * @param minBackoffMillis initial backoff after a failed call
 * @param maxBackoffMillis maximum backoff after failed calls
 */
public record StoreWatcherSettings(
    long waitMillis,
    double waitJitter,
    long pauseMillis,
    long fastPollPauseMillis,
    int fastPolls,
    long fastPollRefillMillis,
    long minBackoffMillis,
    long maxBackoffMillis) {
  private static final double HALF = 0.5;

  /** Longest time between two responses while nothing fails, milliseconds. */
  public long longestResponseGapMillis() {
    return Math.max(pauseMillis, fastPollPauseMillis) + longestWaitMillis();
  }

  /** Longest wait of a watch, milliseconds. */
  public long longestWaitMillis() {
    return Math.round(waitMillis * (1 + waitJitter));
  }

  /** Timing without fast polls. */
  public StoreWatcherSettings(
      long waitMillis, long pauseMillis, long minBackoffMillis, long maxBackoffMillis) {
    this(waitMillis, HALF, pauseMillis, pauseMillis, 0, 1, minBackoffMillis, maxBackoffMillis);
  }
}
