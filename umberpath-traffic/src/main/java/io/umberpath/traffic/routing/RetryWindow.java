package io.umberpath.traffic.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Retries a node may make to each service within a sliding window: a share of its own requests for
 * the service, and a few more. The bound of the whole fleet is kept because each node keeps its
 * share of it. Owner synchronizes.
 */
public final class RetryWindow {
  /** Parts of a window, counted as wholes. */
  private static final int BUCKETS_PER_WINDOW = 20;

  /** Of the oldest part some is still within the window when the newest has just begun. */
  private static final int BUCKETS = BUCKETS_PER_WINDOW + 1;

  private static final class Counts {
    private final double[] requests = new double[BUCKETS];
    private final double[] retries = new double[BUCKETS];
    private long bucket;

    private void advance(long now) {
      for (long each = Math.max(bucket + 1, now - BUCKETS + 1); each <= now; each++) {
        requests[index(each)] = 0;
        retries[index(each)] = 0;
      }
      bucket = Math.max(bucket, now);
    }

    private static int index(long bucket) {
      return (int) (bucket % BUCKETS);
    }

    /** Requests of a whole window at most: those of the oldest part may be out of it. */
    private double requestsInWindow() {
      return sum(requests) - requests[index(bucket + 1)];
    }

    private static double sum(double[] counts) {
      double sum = 0;
      for (double count : counts) {
        sum += count;
      }
      return sum;
    }
  }

  private final long bucketMillis;
  private final double ratio;
  private final double extra;
  private final Map<String, Counts> byService = new HashMap<>();

  /**
   * Creates a window without counts.
   *
   * @param windowMillis length of the window, milliseconds
   * @param ratio retries per request
   * @param extra retries beyond that, of all nodes together
   */
  public RetryWindow(long windowMillis, double ratio, double extra) {
    this.bucketMillis = Math.max(1, (windowMillis + BUCKETS_PER_WINDOW - 1) / BUCKETS_PER_WINDOW);
    this.ratio = ratio;
    this.extra = extra;
  }

  /** A request of a caller for the service began here; what back ends call earns no retries. */
  public void requestStarted(long nowMillis, String service) {
    Counts counts = counts(nowMillis, service);
    counts.requests[Counts.index(counts.bucket)]++;
  }

  /**
   * Whether a further arrival at the service is within the bound; counts it if so.
   *
   * @param nodes nodes that share the extra retries
   */
  public boolean tryRetry(long nowMillis, String service, int nodes) {
    Counts counts = counts(nowMillis, service);
    double allowed = ratio * counts.requestsInWindow() + extra / Math.max(1, nodes);
    if (Counts.sum(counts.retries) + 1 > allowed) {
      return false;
    }
    counts.retries[Counts.index(counts.bucket)]++;
    return true;
  }

  /**
   * Counts arrivals that are repeats without being asked for: what a back end calls while it works
   * on a request that is itself a repeat.
   *
   * @param retries how many; a share where only the likelihood is known
   */
  public void repeated(long nowMillis, String service, double retries) {
    Counts counts = counts(nowMillis, service);
    counts.retries[Counts.index(counts.bucket)] += retries;
  }

  private Counts counts(long nowMillis, String service) {
    Counts counts = byService.computeIfAbsent(service, absent -> new Counts());
    counts.advance(nowMillis / bucketMillis);
    return counts;
  }
}
