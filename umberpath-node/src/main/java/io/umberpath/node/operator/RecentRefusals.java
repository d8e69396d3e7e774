package io.umberpath.node.operator;

import io.umberpath.api.v1.ErrorDetail;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Keeps the reasons why this node refused recent changes, at most {@link #MAX_PER_TENANT} per
 * tenant, in memory only. Thread-safe.
 */
final class RecentRefusals {
  private static final int MAX_PER_TENANT = 1_000;

  private final Map<String, Map<String, ErrorDetail>> byTenant = new ConcurrentHashMap<>();

  void remember(String tenant, String requestId, ErrorDetail detail) {
    Map<String, ErrorDetail> refusals =
        byTenant.computeIfAbsent(tenant, name -> new LinkedHashMap<>());
    synchronized (refusals) {
      refusals.remove(requestId);
      refusals.put(requestId, detail);
      if (refusals.size() > MAX_PER_TENANT) {
        refusals.remove(refusals.keySet().iterator().next());
      }
    }
  }

  Optional<ErrorDetail> find(String tenant, String requestId) {
    Map<String, ErrorDetail> refusals = byTenant.get(tenant);
    if (refusals == null) {
      return Optional.empty();
    }
    synchronized (refusals) {
      return Optional.ofNullable(refusals.get(requestId));
    }
  }
}
