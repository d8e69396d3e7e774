package io.umberpath.control.store;

/**
 * Timing of a watcher.
 *
 * @param waitMillis mean of how long a watch may wait for a change, milliseconds; drawn anew each
 *     time between half of it and half more
 * @param pauseMillis pause after changes were heard, so that quick successions come in one answer
 * @param minBackoffMillis first pause after a failed call
 * @param maxBackoffMillis longest pause after failed calls
 */
public record StoreWatcherSettings(
    long waitMillis, long pauseMillis, long minBackoffMillis, long maxBackoffMillis) {}
