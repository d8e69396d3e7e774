package io.umberpath.traffic;

/**
 * Retry-after of refused requests, which grows with the share of recent requests that were refused:
 * in a lasting overload an immediate retry would only be refused again. The owner synchronizes
 * access.
 */
final class OverloadBackoff {
  /** Weight of one request: the average covers about thirty, a fraction of a second. */
  private static final double SAMPLE_WEIGHT = 0.03;

  /**
   * Exponent on the share of refusals: a few in a hundred are noise, above that the backoff rises
   * steeply.
   */
  private static final int STEEPNESS = 3;

  /** Relative jitter of the backoff, so that refused clients do not retry at the same time. */
  private static final double JITTER = 0.25;

  private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;
  private static final int HASH_BITS = 24;

  private final long maxBackoffMillis;
  private double refusalRate;

  /**
   * Creates a backoff without refusals.
   *
   * @param maxBackoffMillis backoff if all requests are refused, milliseconds
   */
  OverloadBackoff(long maxBackoffMillis) {
    this.maxBackoffMillis = maxBackoffMillis;
  }

  /** Records whether a request was refused because it could not be in time. */
  void recordOutcome(boolean refused) {
    refusalRate += SAMPLE_WEIGHT * ((refused ? 1 : 0) - refusalRate);
  }

  /**
   * Backoff of a refused request, milliseconds.
   *
   * @param id id of the request, which determines its jitter
   */
  long backoffMillis(long id) {
    double position = (id * HASH_FACTOR >>> Long.SIZE - HASH_BITS) / (double) (1 << HASH_BITS);
    double jitter = 1 + JITTER * (2 * position - 1);
    return Math.round(maxBackoffMillis * Math.pow(refusalRate, STEEPNESS) * jitter);
  }
}
