package io.umberpath.node.mesh;

import java.util.concurrent.ConcurrentHashMap;

/** Remembers the routes that had a response too long to buffer. Thread-safe. */
final class LongResponseRoutes {
  /** How long a route is remembered after such a response, milliseconds. */
  private static final long RETENTION_MILLIS = 60_000;

  private static final int MAX_ROUTES = 1_000;

  private final ConcurrentHashMap<String, Long> lastSeenMillis = new ConcurrentHashMap<>();

  /** Records a response of a route that is too long to buffer. */
  void record(String route, long nowMillis) {
    if (lastSeenMillis.size() >= MAX_ROUTES) {
      lastSeenMillis.values().removeIf(seen -> nowMillis - seen >= RETENTION_MILLIS);
    }
    if (lastSeenMillis.size() < MAX_ROUTES || lastSeenMillis.containsKey(route)) {
      lastSeenMillis.put(route, nowMillis);
    }
  }

  /** Whether the next response of a route is likely too long to buffer. */
  boolean contains(String route, long nowMillis) {
    Long seen = lastSeenMillis.get(route);
    return seen != null && nowMillis - seen < RETENTION_MILLIS;
  }
}
