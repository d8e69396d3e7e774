package io.umberpath.traffic.outlier;

/**
 * Expected loss at a backend that fails more often than the other backends of its service. Such a
 * backend gets proportionally fewer requests but is not ejected: one that fails half of its
 * requests still serves the other half, which is better than a backend that serves all of them too
 * late. If all fail equally often there is no outlier and none is avoided.
 */
public final class FailureRateOutlier {
  /**
   * Difference that may be noise: two standard errors of a proportion around a half, from the 25
   * responses of a backend in two seconds under moderate load.
   */
  private static final double NOISE_MARGIN = 0.2;

  private FailureRateOutlier() {}

  /**
   * Failure rates of a backend and of its service.
   *
   * @param rate share of its responses that fail, 0 to 1
   * @param meanRate mean rate over the backends of the service
   */
  public record FailureRates(double rate, double meanRate) {}

  /**
   * Share of a request's value that is expected to be lost beyond the mean loss of the service, 0
   * to 1.
   */
  public static double excessLoss(FailureRates rates) {
    double excess = rates.rate() - rates.meanRate() - NOISE_MARGIN;
    return excess <= 0 ? 0 : Math.min(1, excess / (1 - NOISE_MARGIN));
  }
}
