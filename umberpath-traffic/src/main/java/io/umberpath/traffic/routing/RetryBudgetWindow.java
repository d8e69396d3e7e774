package io.umberpath.traffic.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Retry budget of a node for each service within a sliding window: a share of its own requests to
 * the service plus a few extra ones. Each node keeps to its share, which bounds the retries of the
 * whole fleet. The owner synchronizes access.
 */
public final class RetryBudgetWindow {
  /** Buckets per window; a bucket enters and leaves the window as a whole. */
  private static final int BUCKETS_PER_WINDOW = 20;

  /**
   * One more bucket than the window has: part of the oldest is still within the window when the
   * newest has just begun.
   */
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

    /**
     * Requests within the window without its oldest bucket, part of which may already be outside.
     */
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
   * Creates a budget without recorded requests.
   *
   * @param windowMillis length of the window, milliseconds
   * @param ratio retries per request
   * @param extra additional retries, shared by all nodes
   */
  public RetryBudgetWindow(long windowMillis, double ratio, double extra) {
    this.bucketMillis = Math.max(1, (windowMillis + BUCKETS_PER_WINDOW - 1) / BUCKETS_PER_WINDOW);
    this.ratio = ratio;
    this.extra = extra;
  }

  /**
   * Records a request of a client to the service; nested calls of backends add nothing to the
   * budget.
   */
  public void recordRequest(long nowMillis, String service) {
    Counts counts = counts(nowMillis, service);
    counts.requests[Counts.index(counts.bucket)]++;
  }

  /**
   * Takes one retry from the budget.
   *
   * @param nodes nodes that share the extra retries
   * @return whether the retry is within the budget
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
   * Records retries that did not ask the budget: calls that a backend makes while it processes a
   * request that is itself a retry.
   *
   * @param retries how many; a fraction if only the probability is known
   */
  public void recordRetries(long nowMillis, String service, double retries) {
    Counts counts = counts(nowMillis, service);
    counts.retries[Counts.index(counts.bucket)] += retries;
  }

  private Counts counts(long nowMillis, String service) {
    Counts counts = byService.computeIfAbsent(service, absent -> new Counts());
    counts.advance(nowMillis / bucketMillis);
    return counts;
  }
}
