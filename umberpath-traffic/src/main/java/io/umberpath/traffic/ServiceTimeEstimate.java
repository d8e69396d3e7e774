package io.umberpath.traffic;

/**
 * Running estimate of the time that a request holds its slot. The owner synchronizes access.
 *
 * <p>Keeps two values because durations vary widely (a lookup and an upload share the slots): the
 * mean tells how fast a queue drains; a low quantile tells what even a short request needs.
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

  /** Duration that four of five requests exceed, microseconds; 0 before any was measured. */
  double fastMicros() {
    return fastMicros;
  }
}
