package io.umberpath.node.mesh;

import io.umberpath.model.routing.BackendEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * Backends that the store no longer lists, but that the node on the same machine attests to be
 * alive. Thread-safe.
 */
final class AttestedBackends {
  /**
   * How long an attestation is valid unless it is renewed, milliseconds. Nodes of other zones
   * receive it by digests, which two nodes of a zone send once a second each, and a round of
   * reports later.
   */
  private static final long VALID_MILLIS = 2_500;

  private record Attestation(BackendEntry entry, long startedAtMillis, long expiresAtMillis) {}

  private final Map<String, Attestation> byHost = new ConcurrentHashMap<>();

  /** Records what the node at a host attests now; empty withdraws its attestation. */
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

  /** Removes expired attestations, so that the request path need not check them. */
  void removeExpired(long nowMillis) {
    byHost.values().removeIf(attestation -> nowMillis >= attestation.expiresAtMillis());
  }

  /**
   * Returns the backends of a service that take new requests, listed and attested ones.
   *
   * @param contact this node's contact with the store; evaluated only if a backend is attested,
   *     because this method is called for each request
   */
  List<BackendEntry> readyBackends(
      long nowMillis, BackendDirectory listed, Supplier<StoreContact> contact, String service) {
    List<BackendEntry> listedBackends = listed.readyBackends(service);
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
          listed.atAddress(entry.address()).isEmpty() && !listed.isEvacuated(entry.zone());
      if (isValid && isUnlisted && entry.service().equals(service)) {
        backends.add(entry);
      }
    }
    return backends;
  }
}
