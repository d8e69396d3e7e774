package io.umberpath.node.mesh;

/** Limits the log lines of one kind per second and counts the dropped ones. Thread-safe. */
final class LogRateLimiter {
  private static final long SECOND_MILLIS = 1_000;

  private final int maxPerSecond;
  private long currentSecond = -1;
  private int usedInSecond;
  private long dropped;

  LogRateLimiter(int maxPerSecond) {
    this.maxPerSecond = maxPerSecond;
  }

  /** Returns whether a line may be written now; counts it as dropped if not. */
  synchronized boolean tryAcquire(long nowMillis) {
    long now = nowMillis / SECOND_MILLIS;
    if (now != currentSecond) {
      currentSecond = now;
      usedInSecond = 0;
    }
    if (usedInSecond < maxPerSecond) {
      usedInSecond++;
      return true;
    }
    dropped++;
    return false;
  }

  /** Returns the number of lines dropped since the last call. */
  synchronized long drainDropped() {
    long count = dropped;
    dropped = 0;
    return count;
  }
}
