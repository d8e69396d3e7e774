package io.umberpath.lab.bench;

import org.HdrHistogram.Histogram;

/** A distribution of durations in microseconds. Not thread-safe. */
final class Distribution {
  private static final int DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000;

  private final Histogram histogram = new Histogram(DIGITS);

  void add(long micros) {
    histogram.recordValue(micros);
  }

  double millis(double percentile) {
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  double maxMillis() {
    return histogram.getMaxValue() / MICROS_PER_MILLI;
  }
}
