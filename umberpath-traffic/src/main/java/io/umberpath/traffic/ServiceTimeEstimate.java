package io.umberpath.traffic;

/**
 * Running estimate of the time a request holds its slot. Owner synchronizes.
 *
 * <p>Two figures, because requests differ much (a lookup and an upload share the slots): the mean
 * says how fast a queue drains; a low quantile says what even a short request needs.
 */
final class ServiceTimeEstimate {
  private static final double MEAN_WEIGHT = 0.05;
  private static final double QUANTILE = 0.2;
  private static final double QUANTILE_STEP = 0.05;

  private double meanMicros;
  private double fastMicros;
  private boolean measured;

  ServiceTimeEstimate(long initialMicros) {
    meanMicros = initialMicros;
    fastMicros = 0;
  }

  void add(long micros) {
    long sample = Math.max(1, micros);
    if (!measured) {
      measured = true;
      meanMicros = sample;
      fastMicros = sample;
      return;
    }
    meanMicros += MEAN_WEIGHT * (sample - meanMicros);
    fastMicros *=
        sample < fastMicros ? 1 - QUANTILE_STEP * (1 - QUANTILE) : 1 + QUANTILE_STEP * QUANTILE;
  }

  /** Mean, microseconds. */
  double meanMicros() {
    return meanMicros;
  }

  /** Time that four of five requests exceed, microseconds; 0 before any was measured. */
  double fastMicros() {
    return fastMicros;
  }
}
