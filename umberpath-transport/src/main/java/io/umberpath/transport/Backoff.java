package io.umberpath.transport;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Exponential backoff with jitter: each delay is between half and all of the nominal delay. Not
 * thread-safe.
 */
final class Backoff {
  private final long minMillis;
  private final long maxMillis;
  private long nextMillis;

  Backoff(long minMillis, long maxMillis) {
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
    this.nextMillis = minMillis;
  }

  /** Returns the delay in milliseconds after a further failure. */
  long nextDelayMillis() {
    long delayMillis = nextMillis;
    nextMillis = Math.min(maxMillis, 2 * nextMillis);
    return delayMillis / 2 + ThreadLocalRandom.current().nextLong(delayMillis / 2 + 1);
  }

  void reset() {
    nextMillis = minMillis;
  }
}
