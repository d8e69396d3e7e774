package io.umberpath.traffic;

import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Route;
import java.util.Optional;

/** Finds the route of a request. Immutable and thread-safe. */
public interface RouteTable {
  /**
   * The route with the longest prefix that matches on a path segment boundary; an exact host goes
   * before {@code *}.
   *
   * @param host host without port, any case
   * @param path path without query
   */
  Optional<Route> match(String host, String path);

  /** Builds the table of one snapshot. */
  static RouteTable of(ProxySnapshot snapshot) {
    return new SimpleRouteTable(snapshot.routes());
  }
}
