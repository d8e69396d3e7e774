package io.umberpath.traffic;

import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Route;
import java.util.Optional;

/** Matches requests to routes. Immutable and thread-safe. */
public interface RouteTable {
  /**
   * Finds the route with the longest prefix that matches on a path segment boundary; an exact host
   * takes precedence over {@code *}.
   *
   * @param host host without port, any case
   * @param path path without query
   */
  Optional<Route> match(String host, String path);

  /** Builds the table for one snapshot. */
  static RouteTable of(ProxySnapshot snapshot) {
    return new SimpleRouteTable(snapshot.routes());
  }
}
