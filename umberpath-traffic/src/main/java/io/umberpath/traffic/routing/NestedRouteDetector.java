package io.umberpath.traffic.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects routes of nested requests, which backends send while they process another request. All
 * requests of such a route originate beside backends of one service; routes of external clients
 * have origins beside those of every service. The sender of a nested request holds a slot while it
 * waits. The owner synchronizes access.
 */
public final class NestedRouteDetector {
  /** Requests of a route before it is classified. */
  private static final int MIN_REQUESTS = 24;

  /** Requests after which all counts are halved, so that a change of origins shows. */
  private static final int MAX_REQUESTS = 512;

  /**
   * Share of the requests of a nested route that may originate elsewhere, for example from an
   * operator.
   */
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
   * Records a request.
   *
   * @param route its route
   * @param callerService service of the backend beside the node where the request originated
   */
  public void recordRequest(String route, String callerService) {
    if (byRoute.size() >= MAX_ROUTES && !byRoute.containsKey(route)) {
      byRoute.clear();
    }
    byRoute.computeIfAbsent(route, absent -> new OriginCounts()).add(callerService);
    allRoutes.add(callerService);
  }

  /**
   * Whether the requests of a route are nested. Always false while the requests of all routes
   * originate beside one service, as the origin is then no evidence.
   */
  public boolean isNested(String route) {
    OriginCounts origins = byRoute.get(route);
    return origins != null && origins.isNested() && !allRoutes.isNested();
  }
}
