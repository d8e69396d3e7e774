package io.umberpath.node.mesh;

import java.util.HashMap;
import java.util.Map;

/**
 * Sums up the requests that have ended since the last summary, by route. Memory is bounded: routes
 * above {@link #MAX_ROUTES} share one summary. Thread-safe.
 */
final class RouteSummaries {
  /** Most routes with a summary of their own in one second. */
  static final int MAX_ROUTES = 16;

  /** Name of the summary of all further routes. */
  static final String OTHER_ROUTES = "other";

  /** Name of the summary of requests that were refused before a route was found. */
  static final String NO_ROUTE = "none";

  private Map<String, RouteSummary> byRoute = new HashMap<>();

  synchronized void record(String route, EndedRequest request) {
    RouteSummary summary = byRoute.get(route);
    if (summary == null) {
      String name = byRoute.size() < MAX_ROUTES ? route : OTHER_ROUTES;
      summary = byRoute.computeIfAbsent(name, absent -> new RouteSummary());
    }
    summary.add(request);
  }

  /** Returns the summaries since the last call; empty without traffic. */
  synchronized Map<String, RouteSummary> drain() {
    Map<String, RouteSummary> drained = byRoute;
    byRoute = drained.isEmpty() ? drained : new HashMap<>();
    return drained;
  }
}
