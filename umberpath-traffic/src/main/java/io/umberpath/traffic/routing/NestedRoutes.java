package io.umberpath.traffic.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells the routes of nested requests, which back ends send while they work on another request, by
 * where their requests begin: all beside back ends of one service. Callers' own routes begin beside
 * those of every service. Whoever waits for a nested request holds a slot meanwhile. Owner
 * synchronizes.
 */
public final class NestedRoutes {
  /** Requests of a route before it is judged. */
  private static final int MIN_REQUESTS = 24;

  /** Requests after which all counts are halved, so that a change of callers shows. */
  private static final int MAX_REQUESTS = 512;

  /** Share of the requests of a nested route that may begin elsewhere, such as an operator's. */
  private static final double MAX_STRAY_RATIO = 0.02;

  private static final int MAX_ROUTES = 1_024;

  private static final class OriginCounts {
    private final Map<String, Integer> byService = new HashMap<>();
    private int total;
    private int largest;

    void add(String service) {
      total++;
      largest = Math.max(largest, byService.merge(service, 1, Integer::sum));
      if (total >= MAX_REQUESTS) {
        byService.replaceAll((each, count) -> count / 2);
        total = byService.values().stream().mapToInt(Integer::intValue).sum();
        largest = byService.values().stream().mapToInt(Integer::intValue).max().orElse(0);
      }
    }

    boolean isNested() {
      return total >= MIN_REQUESTS && total - largest <= MAX_STRAY_RATIO * total;
    }
  }

  private final Map<String, OriginCounts> byRoute = new HashMap<>();
  private final OriginCounts allRoutes = new OriginCounts();

  /**
   * A request arrived.
   *
   * @param route its route
   * @param callerService service of the back end beside the node where it began
   */
  public void arrived(String route, String callerService) {
    if (byRoute.size() >= MAX_ROUTES && !byRoute.containsKey(route)) {
      byRoute.clear();
    }
    byRoute.computeIfAbsent(route, absent -> new OriginCounts()).add(callerService);
    allRoutes.add(callerService);
  }

  /**
   * Whether the requests of a route are nested. Never while requests of all routes begin beside one
   * service, since where a request begins then says nothing.
   */
  public boolean isNested(String route) {
    OriginCounts origins = byRoute.get(route);
    return origins != null && origins.isNested() && !allRoutes.isNested();
  }
}
