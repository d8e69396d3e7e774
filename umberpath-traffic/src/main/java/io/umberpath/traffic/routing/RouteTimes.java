package io.umberpath.traffic.routing;

import java.util.HashMap;
import java.util.Map;

/** How long the requests of each route hold a slot of one back end. Owner synchronizes. */
public final class RouteTimes {
  private static final double SAMPLE_WEIGHT = 0.1;
  private static final int MAX_ROUTES = 4_096;

  /** Samples before a mean is believed. */
  private static final int MIN_SAMPLES = 5;

  private static final class Mean {
    private double micros;
    private int samples;
  }

  private final Map<String, Mean> byRoute = new HashMap<>();

  /** A request of the route held its slot for so long and was answered. */
  public void add(String route, long micros) {
    if (byRoute.size() >= MAX_ROUTES && !byRoute.containsKey(route)) {
      byRoute.clear();
    }
    Mean mean = byRoute.computeIfAbsent(route, absent -> new Mean());
    mean.samples++;
    double weight = Math.max(SAMPLE_WEIGHT, 1.0 / mean.samples);
    mean.micros += weight * (micros - mean.micros);
  }

  /** Expected time, microseconds; 0 if too little is known. */
  public long expectedMicros(String route) {
    Mean mean = byRoute.get(route);
    return mean == null || mean.samples < MIN_SAMPLES ? 0 : Math.round(mean.micros);
  }
}
