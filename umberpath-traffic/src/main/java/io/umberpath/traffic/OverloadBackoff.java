package io.umberpath.traffic;

/**
 * How much of what comes has to be refused, and how long those refused are to stay away for it: in
 * an overload that lasts, who comes back at once is only refused again. Owner synchronizes.
 */
final class OverloadBackoff {
  /** Weight of one request: about thirty forget what was before, a fraction of a second. */
  private static final double SAMPLE_WEIGHT = 0.03;

  /** A few refusals in a hundred are chance; the time rises steeply above. */
  private static final int STEEPNESS = 3;

  /** Share by which the times of those refused differ, so that they do not come back together. */
  private static final double JITTER = 0.25;

  private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;
  private static final int HASH_BITS = 24;

  private final long maxBackoffMillis;
  private double refusalRate;

  /**
   * Creates one without pressure.
   *
   * @param maxBackoffMillis time to stay away if everything is refused, milliseconds
   */
  OverloadBackoff(long maxBackoffMillis) {
    this.maxBackoffMillis = maxBackoffMillis;
  }

  /** A request was refused for want of time, or not. */
  void record(boolean refused) {
    refusalRate += SAMPLE_WEIGHT * ((refused ? 1 : 0) - refusalRate);
  }

  /**
   * How long a refused request is to stay away, milliseconds.
   *
   * @param id of the request, which decides its place in the spread
   */
  long backoffMillis(long id) {
    double position = (id * HASH_FACTOR >>> Long.SIZE - HASH_BITS) / (double) (1 << HASH_BITS);
    double jitter = 1 + JITTER * (2 * position - 1);
    return Math.round(maxBackoffMillis * Math.pow(refusalRate, STEEPNESS) * jitter);
  }
}
