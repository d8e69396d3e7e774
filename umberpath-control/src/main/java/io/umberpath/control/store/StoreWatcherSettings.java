package io.umberpath.control.store;

/**
 * Timing of a watcher.
 *
 * @param waitMillis mean of how long a watch may wait for a change, milliseconds; drawn anew each
 *     time between half of it and half more
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
    long pauseMillis,
    long fastPollPauseMillis,
    int fastPolls,
    long fastPollRefillMillis,
    long minBackoffMillis,
    long maxBackoffMillis) {
  /** Timing that always pauses alike. */
  public StoreWatcherSettings(
      long waitMillis, long pauseMillis, long minBackoffMillis, long maxBackoffMillis) {
    this(waitMillis, pauseMillis, pauseMillis, 0, 1, minBackoffMillis, maxBackoffMillis);
  }
}
