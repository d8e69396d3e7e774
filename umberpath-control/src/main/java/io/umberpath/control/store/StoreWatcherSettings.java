package io.umberpath.control.store;

/**
 * Timing of a watcher.
 *
 * @param waitMillis how long one watch may wait for a change, milliseconds
 * @param pauseMillis pause after changes were heard, so that quick successions come in one answer
 * @param minBackoffMillis first pause after a failed call
 * @param maxBackoffMillis longest pause after failed calls
 */
public record StoreWatcherSettings(
    long waitMillis, long pauseMillis, long minBackoffMillis, long maxBackoffMillis) {}
