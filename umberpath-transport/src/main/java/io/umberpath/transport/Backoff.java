package io.umberpath.transport;

import java.util.concurrent.ThreadLocalRandom;

/** Exponential backoff with jitter between half and the whole of each wait. Not thread-safe. */
final class Backoff {
  private final long minMillis;
  private final long maxMillis;
  private long nextMillis;

  Backoff(long minMillis, long maxMillis) {
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
    this.nextMillis = minMillis;
  }

  /** The wait after one more failure. */
  long nextDelayMillis() {
    long delayMillis = nextMillis;
    nextMillis = Math.min(maxMillis, 2 * nextMillis);
    return delayMillis / 2 + ThreadLocalRandom.current().nextLong(delayMillis / 2 + 1);
  }

  void reset() {
    nextMillis = minMillis;
  }
}
