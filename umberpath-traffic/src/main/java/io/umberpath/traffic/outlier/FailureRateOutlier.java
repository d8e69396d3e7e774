package io.umberpath.traffic.outlier;

/**
 * What a request loses at a back end whose answers fail more often than those of the others of its
 * service. It is tried less often in proportion and not shut out: one that fails half of its work
 * still serves the other half, and is worth more than another that serves all of it too late. Where
 * all fail alike none stands out, and none is left out.
 */
public final class FailureRateOutlier {
  /**
   * Difference that is put down to chance: two standard errors of a share around a half, from the
   * 25 answers that a back end gives in two seconds under moderate load.
   */
  private static final double NOISE_MARGIN = 0.2;

  private FailureRateOutlier() {}

  /**
   * A back end beside the others of its service.
   *
   * @param rate share of its answers that fail, 0 to 1
   * @param meanRate mean of the same over the service's back ends
   */
  public record FailureRates(double rate, double meanRate) {}

  /** Share of a request's worth that is likely lost there beyond what is lost elsewhere, 0 to 1. */
  public static double excessLoss(FailureRates rates) {
    double excess = rates.rate() - rates.meanRate() - NOISE_MARGIN;
    return excess <= 0 ? 0 : Math.min(1, excess / (1 - NOISE_MARGIN));
  }
}
