package io.umberpath.node.mesh;

import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.ServiceDefinition;
import io.umberpath.node.proxy.backend.HealthProbe;
import io.umberpath.node.proxy.http.ResponseHead;
import io.umberpath.node.proxy.pool.ConnectionPool;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Attests that the local backend is alive although its entry in the store has expired: a store that
 * does not answer this machine does not receive the backend's heartbeats either. The attestation is
 * based on health probes, which a backend that drains, has terminated or was replaced fails. A full
 * backend refuses a probe as it refuses requests, which tells nothing: the attestation lapses
 * unless a later probe succeeds. Thread-safe.
 */
final class LivenessAttester {
  private static final long PROBE_INTERVAL_MILLIS = 400;
  private static final long PROBE_TIMEOUT_MILLIS = 1_000;

  /** How long a successful probe is valid, from when it was sent, milliseconds. */
  private static final long PROBE_VALID_MILLIS = 1_500;

  private static final int OK = 200;
  private static final int MISDIRECTED = 421;

  private final MeshSettings settings;
  private final Supplier<MeshView> view;
  private final Supplier<StoreContact> contact;
  private final ConnectionPool pool;
  private final MeshEvents events;
  private final LongSupplier clockMillis;
  private BackendEntry lastListed;
  private HealthProbe probe;
  private long probeSentMillis;
  private long healthyUntilMillis = Long.MIN_VALUE;
  private BackendEntry lastLogged;

  LivenessAttester(
      MeshSettings settings,
      Supplier<MeshView> view,
      Supplier<StoreContact> contact,
      ConnectionPool pool,
      MeshEvents events,
      LongSupplier clockMillis) {
    this.settings = settings;
    this.view = view;
    this.contact = contact;
    this.pool = pool;
    this.events = events;
    this.clockMillis = clockMillis;
  }

  /** The entry of the local backend if it is alive but no longer listed by the store. */
  synchronized Optional<BackendEntry> attestedEntry() {
    boolean isAttested = isEntryMissing() && clockMillis.getAsLong() < healthyUntilMillis;
    return isAttested ? Optional.of(lastListed) : Optional.empty();
  }

  /** Whether the instance with this id is attested. */
  boolean isAttested(String instance) {
    return attestedEntry().filter(entry -> entry.id().equals(instance)).isPresent();
  }

  /** Checks the entry, and probes the backend while lost contact may explain its absence. */
  synchronized void tick() {
    long now = clockMillis.getAsLong();
    List<BackendEntry> listed = view.get().backends().atAddress(settings.backend());
    if (!listed.isEmpty()) {
      lastListed = listed.get(0).state() == BackendEntry.State.READY ? listed.get(0) : null;
      healthyUntilMillis = Long.MIN_VALUE;
    } else if (isEntryMissing() && contact.get().mayMissEntries(now)) {
      probe(now);
    }
    logChange(attestedEntry());
  }

  /** Whether the store does not list the local backend although it was last seen ready. */
  synchronized boolean isEntryMissing() {
    return lastListed != null && view.get().backends().atAddress(settings.backend()).isEmpty();
  }

  private void logChange(Optional<BackendEntry> attested) {
    if (attested.isPresent() && lastLogged == null) {
      events.attestation(attested.get(), true);
    } else if (attested.isEmpty() && lastLogged != null) {
      events.attestation(lastLogged, false);
    }
    lastLogged = attested.orElse(null);
  }

  private void probe(long nowMillis) {
    if (nowMillis < probeSentMillis + PROBE_INTERVAL_MILLIS) {
      return;
    }
    if (probe != null && probe.isInProgress()) {
      if (nowMillis < probeSentMillis + PROBE_TIMEOUT_MILLIS) {
        return;
      }
      probe.cancel();
    }
    ServiceDefinition service = view.get().configuration().services().get(lastListed.service());
    if (service == null) {
      return;
    }
    probeSentMillis = nowMillis;
    String id = lastListed.id();
    probe =
        new HealthProbe(
            pool,
            service.healthPath(),
            (head, body) -> onProbeResponse(id, nowMillis, head),
            () -> onProbeFailure(id));
    probe.start();
  }

  private synchronized void onProbeResponse(String id, long sentMillis, ResponseHead head) {
    Optional<String> instance = head.field(settings.headers().instance());
    boolean isOtherInstance =
        head.status() == MISDIRECTED || instance.filter(other -> !other.equals(id)).isPresent();
    boolean isRefusal = head.field(settings.headers().notExecuted()).isPresent();
    if (isRefusal && !isOtherInstance) {
      // A full backend refuses probes too.
      return;
    }
    boolean isHealthy = head.status() == OK && instance.equals(Optional.of(id));
    if (!isHealthy) {
      withdraw(id);
    } else if (lastListed != null && lastListed.id().equals(id)) {
      healthyUntilMillis = sentMillis + PROBE_VALID_MILLIS;
    }
  }

  /** A backend that is full may reset a probe's connection; one that has ended closes all. */
  private void onProbeFailure(String id) {
    if (pool.openCount() == 0) {
      withdraw(id);
    }
  }

  /** Ends the attestation: a backend restarted under the same id would pass the same probe. */
  void onBackendEnded(String id) {
    withdraw(id);
  }

  /** Withdraws the attestation until the store lists the backend again. */
  private synchronized void withdraw(String id) {
    if (lastListed != null && lastListed.id().equals(id)) {
      lastListed = null;
      logChange(Optional.empty());
    }
  }
}
