package io.umberpath.traffic.routing;

import io.umberpath.model.routing.RoutingRule;
import io.umberpath.model.routing.WeightedService;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Distributes the requests of a route over its targets by weight, evenly spread over time (smooth
 * weighted round robin): after any number of requests each target is within one request of its
 * share. The owner synchronizes access.
 */
public final class WeightedRoundRobin {
  private static final int MAX_ROUTES = 10_000;

  private static final class RouteCredits {
    private final List<WeightedService> targets;
    private final double[] weights;
    private final double[] credits;

    RouteCredits(List<WeightedService> targets) {
      this.targets = targets;
      this.weights = scaledWeights(targets);
      this.credits = new double[weights.length];
    }

    /** Scales by a power of two, which keeps the ratios exact, so that sums do not overflow. */
    private static double[] scaledWeights(List<WeightedService> targets) {
      double largest = targets.stream().mapToDouble(WeightedService::weight).max().orElse(1);
      int exponent = Math.getExponent(largest);
      return targets.stream()
          .mapToDouble(target -> Math.scalb(target.weight(), -exponent))
          .toArray();
    }

    String next() {
      double total = 0;
      int best = 0;
      for (int index = 0; index < credits.length; index++) {
        total += weights[index];
        credits[index] += weights[index];
        if (credits[index] > credits[best]) {
          best = index;
        }
      }
      credits[best] -= total;
      return targets.get(best).service();
    }
  }

  private final Map<String, RouteCredits> byRoute = new HashMap<>();

  /** Selects the service for the next request of the route. */
  public String next(RoutingRule rule) {
    if (rule.targets().size() == 1) {
      return rule.targets().get(0).service();
    }
    RouteCredits credits = byRoute.get(rule.name());
    if (credits == null || !credits.targets.equals(rule.targets())) {
      if (byRoute.size() >= MAX_ROUTES) {
        byRoute.clear();
      }
      credits = new RouteCredits(rule.targets());
      byRoute.put(rule.name(), credits);
    }
    return credits.next();
  }
}
