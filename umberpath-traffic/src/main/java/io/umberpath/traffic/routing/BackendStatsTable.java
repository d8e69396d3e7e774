package io.umberpath.traffic.routing;

import io.umberpath.model.routing.BackendEntry;
import java.util.HashMap;
import java.util.Map;

/**
 * The views of all back ends that a node has heard of. A view belongs to one start of a back end,
 * and begins anew once the back end is listed with another one. Owner synchronizes.
 */
final class BackendStatsTable {
  private static final long EXPIRY_MILLIS = 60_000;

  private final Map<String, BackendStats> byId = new HashMap<>();

  /** The view of a back end, which begins now if there was none. */
  BackendStats getOrCreate(long nowMillis, String id) {
    BackendStats stats = byId.computeIfAbsent(id, absent -> new BackendStats(nowMillis));
    stats.recordActivity(nowMillis);
    return stats;
  }

  /** The view of the start that is listed; that of an earlier start says nothing of it. */
  BackendStats getOrCreate(long nowMillis, BackendEntry entry) {
    if (byId.containsKey(entry.id()) && find(entry) == null) {
      byId.put(entry.id(), BackendStats.forRestartedBackend(nowMillis));
    }
    BackendStats stats = getOrCreate(nowMillis, entry.id());
    stats.updateEntry(entry);
    return stats;
  }

  /** What is known of the start that is listed; null if nothing. */
  BackendStats find(BackendEntry entry) {
    BackendStats stats = byId.get(entry.id());
    return stats == null || stats.isDifferentStart(entry.bornMillis()) ? null : stats;
  }

  /** The view of a back end, whatever its start; null if there is none. */
  BackendStats find(String id) {
    return byId.get(id);
  }

  /** Forgets back ends of which nothing has been heard for long. */
  void removeExpired(long nowMillis) {
    byId.values().removeIf(stats -> stats.isIdleSince(nowMillis - EXPIRY_MILLIS));
  }
}
