package io.umberpath.node.mesh;

import io.umberpath.model.routing.BackendEntry;
import io.umberpath.traffic.routing.LatencyAwareBalancer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * Ready backends to which this node sends fewer requests or none, with the cause and since when.
 * Thread-safe.
 */
final class LeftOutBackends {
  /** Cause if the backend's node is silent or draining, or the backend has announced its end. */
  private static final String UNAVAILABLE = "unavailable";

  private static final long MILLIS_PER_SECOND = 1_000;

  private record LeftOut(String service, String cause, long sinceMillis) {}

  private final LatencyAwareBalancer balancer;
  private final MeshEvents events;
  private final LongSupplier clockMillis;
  private volatile Map<String, LeftOut> byId = Map.of();

  /**
   * Creates an empty list.
   *
   * @param balancer synchronized on itself
   */
  LeftOutBackends(LatencyAwareBalancer balancer, MeshEvents events, LongSupplier clockMillis) {
    this.balancer = balancer;
    this.events = events;
    this.clockMillis = clockMillis;
  }

  /** Updates the list and logs what has changed. */
  synchronized void update(Collection<BackendEntry> ready, Set<String> unavailable) {
    long now = clockMillis.getAsLong();
    Map<String, List<BackendEntry>> byService =
        ready.stream().collect(Collectors.groupingBy(BackendEntry::service));
    Map<String, LeftOut> current = new HashMap<>();
    for (Map.Entry<String, List<BackendEntry>> service : byService.entrySet()) {
      causes(now, service.getValue(), unavailable)
          .forEach((id, cause) -> current.put(id, leftOut(now, id, service.getKey(), cause)));
    }
    logChanges(now, byId, current);
    byId = Map.copyOf(current);
  }

  private Map<String, String> causes(
      long nowMillis, List<BackendEntry> backends, Set<String> unavailable) {
    Map<String, String> causes = new HashMap<>();
    synchronized (balancer) {
      balancer
          .avoided(nowMillis, backends)
          .forEach((id, avoidance) -> causes.put(id, MeshEvents.label(avoidance)));
    }
    for (BackendEntry backend : backends) {
      if (unavailable.contains(backend.id())) {
        causes.put(backend.id(), UNAVAILABLE);
      }
    }
    return causes;
  }

  private LeftOut leftOut(long nowMillis, String id, String service, String cause) {
    LeftOut known = byId.get(id);
    return known != null && known.cause().equals(cause)
        ? known
        : new LeftOut(service, cause, nowMillis);
  }

  private void logChanges(long nowMillis, Map<String, LeftOut> before, Map<String, LeftOut> after) {
    before.forEach(
        (id, leftOut) -> {
          if (!leftOut.equals(after.get(id))) {
            events.backendLeftOut(id, leftOut.cause(), false, nowMillis - leftOut.sinceMillis());
          }
        });
    after.forEach(
        (id, leftOut) -> {
          if (!leftOut.equals(before.get(id))) {
            events.backendLeftOut(id, leftOut.cause(), true, 0);
          }
        });
  }

  /** Returns the number of backends. */
  int count() {
    return byId.size();
  }

  /** Returns the backends for operators, one per line. */
  String statusPage() {
    long now = clockMillis.getAsLong();
    List<String> lines = new ArrayList<>();
    new TreeMap<>(byId)
        .forEach(
            (id, leftOut) ->
                lines.add(
                    "%s of %s left out for %d s: %s%n"
                        .formatted(
                            id,
                            leftOut.service(),
                            (now - leftOut.sinceMillis()) / MILLIS_PER_SECOND,
                            leftOut.cause())));
    return String.join("", lines);
  }
}
