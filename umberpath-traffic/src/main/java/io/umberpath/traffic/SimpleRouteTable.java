package io.umberpath.traffic;

import io.umberpath.model.Route;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Matches by host, then by prefix in the given order (longest first). */
final class SimpleRouteTable implements RouteTable {
  private final Map<String, List<Route>> byHost = new HashMap<>();

  SimpleRouteTable(List<Route> longestPrefixFirst) {
    for (Route route : longestPrefixFirst) {
      byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
  }

  @Override
  public Optional<Route> match(String host, String path) {
    Optional<Route> exact = findFirst(byHost.get(host.toLowerCase(Locale.ROOT)), path);
    return exact.isPresent() ? exact : findFirst(byHost.get(Route.ANY_HOST), path);
  }

  private static Optional<Route> findFirst(List<Route> candidates, String path) {
    if (candidates == null) {
      return Optional.empty();
    }
    return candidates.stream().filter(route -> matchesPrefix(route.pathPrefix(), path)).findFirst();
  }

  private static boolean matchesPrefix(String prefix, String path) {
    if (!path.startsWith(prefix)) {
      return false;
    }
    return prefix.endsWith("/")
        || path.length() == prefix.length()
        || path.charAt(prefix.length()) == '/';
  }
}
