package io.umberpath.traffic.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Moving averages and mean deviations of one value per route, such as a time or a size. The owner
 * synchronizes access.
 */
public final class RouteAverages {
  private static final double SAMPLE_WEIGHT = 0.1;
  private static final int MAX_ROUTES = 4_096;

  private static final class MovingAverage {
    private double value;
    private double deviation;
    private int samples;
  }

  private final int minSamples;
  private final Map<String, MovingAverage> byRoute = new HashMap<>();

  /**
   * Creates averages without samples.
   *
   * @param minSamples samples before an average is used, at least 1
   */
  public RouteAverages(int minSamples) {
    this.minSamples = minSamples;
  }

  /** Removes all samples. */
  public void clear() {
    byRoute.clear();
  }

  /** Adds a sample. */
  public void add(String route, long value) {
    if (byRoute.size() >= MAX_ROUTES && !byRoute.containsKey(route)) {
      byRoute.clear();
    }
    MovingAverage mean = byRoute.computeIfAbsent(route, absent -> new MovingAverage());
    mean.samples++;
    double weight = Math.max(SAMPLE_WEIGHT, 1.0 / mean.samples);
    mean.deviation += weight * (Math.abs(value - mean.value) - mean.deviation);
    mean.value += weight * (value - mean.value);
  }

  /**
   * Value that about four samples in five stay below: mean plus mean absolute deviation, like the
   * retransmission timeout of TCP (RFC 6298) but with one deviation instead of four; 0 if there are
   * too few samples.
   */
  public long upperEstimate(String route) {
    return upperEstimate(route, 1);
  }

  /** Mean plus a number of mean absolute deviations; 0 if there are too few samples. */
  public long upperEstimate(String route, int deviations) {
    MovingAverage mean = byRoute.get(route);
    boolean known = mean != null && mean.samples >= minSamples;
    return known ? Math.round(mean.value + deviations * mean.deviation) : 0;
  }

  /** The moving average; 0 if there are too few samples. */
  public long average(String route) {
    MovingAverage mean = byRoute.get(route);
    return mean == null || mean.samples < minSamples ? 0 : Math.round(mean.value);
  }
}
