package io.umberpath.control.store;

/**
 * Timing of a watcher.
 *
 * @param waitMillis mean of how long a watch may wait for a change, milliseconds
 * @param waitJitter share by which a wait, drawn anew each time, may be shorter or longer than that
 * @param pauseMillis pause after changes were heard, so that quick successions come in one answer
 * @param fastPollPauseMillis the same while there are fast polls left
 * @param fastPolls pauses that may be quick after a quiet time; one comes back with each {@code
 *     fastPollRefillMillis}
 * @param fastPollRefillMillis time in which a fast poll comes back
 * @param minBackoffMillis first pause after a failed call
 * @param maxBackoffMillis longest pause after failed calls
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

  /** Longest time from one answer to the next while nothing goes wrong, milliseconds. */
  public long longestQuietMillis() {
    return Math.max(pauseMillis, fastPollPauseMillis) + longestWaitMillis();
  }

  /** Longest that a watch may wait, milliseconds. */
  public long longestWaitMillis() {
    return Math.round(waitMillis * (1 + waitJitter));
  }

  /** Timing that always pauses alike. */
  public StoreWatcherSettings(
      long waitMillis, long pauseMillis, long minBackoffMillis, long maxBackoffMillis) {
    this(waitMillis, HALF, pauseMillis, pauseMillis, 0, 1, minBackoffMillis, maxBackoffMillis);
  }
}
