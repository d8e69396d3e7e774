package io.umberpath.traffic.routing;

import io.umberpath.traffic.DecayingValue;
import java.util.HashMap;
import java.util.Map;

/**
 * Moving averages and mean deviations of one value per route, such as a time or a size. The owner
 * synchronizes access.
 */
public final class RouteAverages {
  private static final double SAMPLE_WEIGHT = 0.1;
  private static final int MAX_ROUTES = 4_096;

  /** Time without a sample after which the earlier ones count half, milliseconds. */
  private static final double HALF_LIFE_MILLIS = 1_000;

  /** Time without a sample after which an average is not used, milliseconds. */
  private static final long EXPIRY_MILLIS = 4_000;

  private static final class MovingAverage {
    private double value;
    private double deviation;
    private int samples;
    private long updatedMillis;
    private boolean isExpired;
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

  /** Adds a sample; earlier ones count whatever their age. */
  public void add(String route, long value) {
    add(meanOf(route), value, 0);
  }

  /** Adds a sample; earlier ones count less the longer there was none. */
  public void add(long nowMillis, String route, long value) {
    MovingAverage mean = meanOf(route);
    double forgotten =
        1 - DecayingValue.decayFactor(nowMillis - mean.updatedMillis, HALF_LIFE_MILLIS);
    mean.updatedMillis = nowMillis;
    mean.isExpired = false;
    add(mean, value, forgotten);
  }

  private MovingAverage meanOf(String route) {
    if (byRoute.size() >= MAX_ROUTES && !byRoute.containsKey(route)) {
      byRoute.clear();
    }
    return byRoute.computeIfAbsent(route, absent -> new MovingAverage());
  }

  private static void add(MovingAverage mean, long value, double forgotten) {
    mean.samples++;
    double weight = Math.max(Math.max(SAMPLE_WEIGHT, 1.0 / mean.samples), forgotten);
    // What is left of an old mean does not predict the sample, so its error shows no deviation.
    double deviation = (1 - forgotten) * Math.abs(value - mean.value);
    mean.deviation += weight * (deviation - mean.deviation);
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
    return isUsable(mean) ? Math.round(mean.value + deviations * mean.deviation) : 0;
  }

  /** The moving average; 0 if there are too few samples. */
  public long average(String route) {
    MovingAverage mean = byRoute.get(route);
    return isUsable(mean) ? Math.round(mean.value) : 0;
  }

  private boolean isUsable(MovingAverage mean) {
    return mean != null && mean.samples >= minSamples && !mean.isExpired;
  }

  /**
   * Takes averages without a recent sample out of use until their next one. If they were used to
   * refuse requests of their route, there would never be another sample.
   */
  public void expire(long nowMillis) {
    for (MovingAverage mean : byRoute.values()) {
      mean.isExpired = nowMillis - mean.updatedMillis >= EXPIRY_MILLIS;
    }
  }
}
