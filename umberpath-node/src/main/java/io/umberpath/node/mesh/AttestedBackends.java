package io.umberpath.node.mesh;

import io.umberpath.model.routing.BackendEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * Back ends that the store lists no more, but the node beside each attests to live. Thread-safe.
 */
final class AttestedBackends {
  /**
   * How long an attestation holds without being repeated, milliseconds: nodes of other zones hear
   * of it by digests, one a second from each of two nodes, and one round later.
   */
  private static final long VALID_MILLIS = 2_500;

  private record Attestation(BackendEntry entry, long startedAtMillis, long expiresAtMillis) {}

  private final Map<String, Attestation> byHost = new ConcurrentHashMap<>();

  /** Takes what the node of a machine attests now. */
  void recordAttestation(long nowMillis, String host, Optional<BackendEntry> entry) {
    if (entry.isPresent()) {
      Attestation previous = byHost.get(host);
      boolean isSameStart =
          previous != null && previous.entry().start().equals(entry.get().start());
      long startedAtMillis = isSameStart ? previous.startedAtMillis() : nowMillis;
      byHost.put(host, new Attestation(entry.get(), startedAtMillis, nowMillis + VALID_MILLIS));
    } else {
      byHost.remove(host);
    }
  }

  /** Drops attestations that hold no more, so that requests need not look at them. */
  void removeExpired(long nowMillis) {
    byHost.values().removeIf(attestation -> nowMillis >= attestation.expiresAtMillis());
  }

  /**
   * The back ends of a service that take new work: those listed, and those attested.
   *
   * @param contact of this node with the store; asked for only if a back end is attested, as this
   *     is called for each request
   */
  List<BackendEntry> readyBackends(
      long nowMillis, BackendDirectory listed, Supplier<StoreContact> contact, String service) {
    List<BackendEntry> listedBackends = listed.ready(service);
    if (byHost.isEmpty()) {
      return listedBackends;
    }
    StoreContact current = contact.get();
    List<BackendEntry> backends = new ArrayList<>(listedBackends);
    for (Attestation attestation : byHost.values()) {
      BackendEntry entry = attestation.entry();
      boolean isValid =
          nowMillis < attestation.expiresAtMillis()
              && !current.confirmsRemoval(attestation.startedAtMillis(), nowMillis);
      boolean isUnlisted =
          listed.at(entry.address()).isEmpty() && !listed.isEvacuated(entry.zone());
      if (isValid && isUnlisted && entry.service().equals(service)) {
        backends.add(entry);
      }
    }
    return backends;
  }
}
