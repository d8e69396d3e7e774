package io.umberpath.node.mesh;

import io.umberpath.node.proxy.inbound.RequestPlan;
import java.util.concurrent.ConcurrentHashMap;

/** Remembers the routes that had a response too long to buffer. Thread-safe. */
final class LongResponseRoutes {
  /** How long a route is remembered after such a response, milliseconds. */
  private static final long RETENTION_MILLIS = 60_000;

  private static final int MAX_ROUTES = 1_000;

  private final RequestEvents events;
  private final ConcurrentHashMap<String, Long> lastSeenMillis = new ConcurrentHashMap<>();

  LongResponseRoutes(RequestEvents events) {
    this.events = events;
  }

  /** Records that the response to a request is too long to buffer. */
  void record(RequestPlan plan, long nowMillis) {
    String route = plan.route();
    if (!contains(route, nowMillis)) {
      events.longResponses(plan);
    }
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
