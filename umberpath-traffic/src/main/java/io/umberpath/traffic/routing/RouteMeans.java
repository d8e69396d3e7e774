package io.umberpath.traffic.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Moving means of one figure, such as a time or a size, for each route, and how far it strays from
 * them. Owner synchronizes.
 */
public final class RouteMeans {
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
   * Creates one that knows nothing.
   *
   * @param minSamples samples before a mean is believed, at least 1
   */
  public RouteMeans(int minSamples) {
    this.minSamples = minSamples;
  }

  /** Forgets all samples. */
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
   * What about four values in five stay below: mean and mean absolute deviation, as for the
   * retransmission time-out of TCP (RFC 6298) but with one deviation instead of four; 0 if too
   * little is known.
   */
  public long likelyMost(String route) {
    MovingAverage mean = byRoute.get(route);
    boolean known = mean != null && mean.samples >= minSamples;
    return known ? Math.round(mean.value + mean.deviation) : 0;
  }

  /** The expected value; 0 if too little is known. */
  public long expected(String route) {
    MovingAverage mean = byRoute.get(route);
    return mean == null || mean.samples < minSamples ? 0 : Math.round(mean.value);
  }
}
