package io.umberpath.traffic.routing;

import io.umberpath.model.routing.RoutingConfiguration;
import io.umberpath.model.routing.RoutingRule;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Matches requests against the routes of one configuration. Immutable and thread-safe. */
public final class RoutingTable {
  /** The routes of a host by prefix, and the lengths of those prefixes, longest first. */
  private record HostRoutes(Map<String, RoutingRule> byPrefix, List<Integer> lengths) {}

  private final long version;
  private final Map<String, HostRoutes> byHost;

  private RoutingTable(long version, Map<String, HostRoutes> byHost) {
    this.version = version;
    this.byHost = byHost;
  }

  /** Builds the table for a configuration. */
  public static RoutingTable of(RoutingConfiguration configuration) {
    Map<String, Map<String, RoutingRule>> grouped = new HashMap<>();
    for (RoutingRule rule : configuration.rules()) {
      grouped.computeIfAbsent(rule.host(), host -> new HashMap<>()).put(rule.pathPrefix(), rule);
    }
    Map<String, HostRoutes> byHost = new HashMap<>();
    grouped.forEach((host, routes) -> byHost.put(host, new HostRoutes(routes, lengths(routes))));
    return new RoutingTable(configuration.version(), byHost);
  }

  private static List<Integer> lengths(Map<String, RoutingRule> byPrefix) {
    List<Integer> lengths = new ArrayList<>();
    byPrefix.keySet().stream()
        .map(String::length)
        .distinct()
        .sorted(Comparator.reverseOrder())
        .forEach(lengths::add);
    return lengths;
  }

  /** Version of the configuration. */
  public long version() {
    return version;
  }

  /**
   * Finds the route with the longest matching path prefix.
   *
   * @param host host as given in the request, any case, with or without a port
   * @param path path without query
   */
  public Optional<RoutingRule> match(String host, String path) {
    HostRoutes routes = byHost.get(withoutPort(host));
    if (routes == null) {
      return Optional.empty();
    }
    for (int length : routes.lengths()) {
      if (length <= path.length()) {
        RoutingRule rule = routes.byPrefix().get(path.substring(0, length));
        if (rule != null) {
          return Optional.of(rule);
        }
      }
    }
    return Optional.empty();
  }

  private static String withoutPort(String host) {
    int bracket = host.lastIndexOf(']');
    int colon = host.indexOf(':', Math.max(bracket, 0));
    return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
  }
}
