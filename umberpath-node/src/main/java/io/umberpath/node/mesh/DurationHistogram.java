package io.umberpath.node.mesh;

/**
 * Histogram of durations in milliseconds with four buckets per power of two, so that quantiles are
 * at most a quarter too high. Not thread-safe.
 */
final class DurationHistogram {
  private static final int SUB_BUCKET_BITS = 2;
  private static final int SUB_BUCKETS = 1 << SUB_BUCKET_BITS;
  private static final int MAX_BITS = 20;
  private static final long MAX_MILLIS = (1L << MAX_BITS) - 1;

  private final int[] counts = new int[(MAX_BITS - SUB_BUCKET_BITS + 1) * SUB_BUCKETS];
  private long count;
  private long max;

  void add(long millis) {
    counts[indexOf(Math.max(0, Math.min(millis, MAX_MILLIS)))]++;
    count++;
    max = Math.max(max, millis);
  }

  long count() {
    return count;
  }

  long max() {
    return max;
  }

  /** Returns the upper bound of the bucket that contains a quantile; 0 if there is no duration. */
  long quantile(double quantile) {
    long rank = (long) Math.ceil(quantile * count);
    long seen = 0;
    for (int index = 0; index < counts.length; index++) {
      seen += counts[index];
      if (seen >= rank) {
        return Math.min(max, upperBound(index));
      }
    }
    return max;
  }

  private static int indexOf(long millis) {
    if (millis < SUB_BUCKETS) {
      return (int) millis;
    }
    int shift = Long.SIZE - 1 - Long.numberOfLeadingZeros(millis) - SUB_BUCKET_BITS;
    return (shift + 1) * SUB_BUCKETS + (int) (millis >> shift) - SUB_BUCKETS;
  }

  private static long upperBound(int index) {
    if (index < SUB_BUCKETS) {
      return index;
    }
    int shift = index / SUB_BUCKETS - 1;
    long lowest = (long) (SUB_BUCKETS + index % SUB_BUCKETS) << shift;
    return lowest + (1L << shift) - 1;
  }
}
