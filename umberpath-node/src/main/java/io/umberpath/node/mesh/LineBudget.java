package io.umberpath.node.mesh;

/** How many lines of one kind may be written a second; the rest is counted. Thread-safe. */
final class LineBudget {
  private static final long SECOND_MILLIS = 1_000;

  private final int perSecond;
  private long second = -1;
  private int used;
  private long dropped;

  LineBudget(int perSecond) {
    this.perSecond = perSecond;
  }

  /** Whether a line may be written now; counts it as dropped if not. */
  synchronized boolean take(long nowMillis) {
    long now = nowMillis / SECOND_MILLIS;
    if (now != second) {
      second = now;
      used = 0;
    }
    if (used < perSecond) {
      used++;
      return true;
    }
    dropped++;
    return false;
  }

  /** Lines dropped since the last call. */
  synchronized long takeDropped() {
    long count = dropped;
    dropped = 0;
    return count;
  }
}
