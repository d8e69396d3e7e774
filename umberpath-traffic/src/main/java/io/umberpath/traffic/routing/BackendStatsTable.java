package io.umberpath.traffic.routing;

import io.umberpath.model.routing.BackendEntry;
import java.util.HashMap;
import java.util.Map;

/**
 * Statistics of all backends that a node has heard of. An entry belongs to one start of a backend
 * and is replaced once the backend is listed with another start time. The owner synchronizes
 * access.
 */
final class BackendStatsTable {
  private static final long EXPIRY_MILLIS = 60_000;

  private final Map<String, BackendStats> byId = new HashMap<>();

  /** Returns the statistics of a backend; creates them if there are none. */
  BackendStats getOrCreate(long nowMillis, String id) {
    BackendStats stats = byId.computeIfAbsent(id, absent -> new BackendStats(nowMillis));
    stats.recordActivity(nowMillis);
    return stats;
  }

  /**
   * Returns the statistics of the listed start; statistics of an earlier start do not apply to it
   * and are replaced.
   */
  BackendStats getOrCreate(long nowMillis, BackendEntry entry) {
    if (byId.containsKey(entry.id()) && find(entry) == null) {
      byId.put(entry.id(), BackendStats.forRestartedBackend(nowMillis));
    }
    BackendStats stats = getOrCreate(nowMillis, entry.id());
    stats.updateEntry(entry);
    return stats;
  }

  /** Returns the statistics of the listed start; null if there are none. */
  BackendStats find(BackendEntry entry) {
    BackendStats stats = byId.get(entry.id());
    return stats == null || stats.isDifferentStart(entry.startTimeMillis()) ? null : stats;
  }

  /** Returns the statistics of a backend, whatever its start; null if there are none. */
  BackendStats find(String id) {
    return byId.get(id);
  }

  /** Removes backends without activity for {@link #EXPIRY_MILLIS}. */
  void removeExpired(long nowMillis) {
    byId.values().removeIf(stats -> stats.isIdleSince(nowMillis - EXPIRY_MILLIS));
  }
}
