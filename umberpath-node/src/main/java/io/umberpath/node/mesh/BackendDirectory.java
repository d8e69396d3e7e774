package io.umberpath.node.mesh;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.routing.BackendEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The backends at one revision of the store. Immutable. */
final class BackendDirectory {
  static final BackendDirectory EMPTY = new BackendDirectory(List.of(), Set.of());

  private final Map<String, BackendEntry> byId = new HashMap<>();
  private final Map<String, List<BackendEntry>> readyByService = new HashMap<>();
  private final Map<String, List<BackendEntry>> byHost = new HashMap<>();
  private final Set<String> evacuatedZones;

  /**
   * Indexes entries by id, host and service.
   *
   * @param evacuatedZones zones whose backends take no new requests
   */
  BackendDirectory(Collection<BackendEntry> entries, Set<String> evacuatedZones) {
    this.evacuatedZones = Set.copyOf(evacuatedZones);
    for (BackendEntry entry : entries) {
      byId.put(entry.id(), entry);
      byHost.computeIfAbsent(entry.address().host(), host -> new ArrayList<>()).add(entry);
      if (entry.state() == BackendEntry.State.READY && !isEvacuated(entry.zone())) {
        readyByService.computeIfAbsent(entry.service(), service -> new ArrayList<>()).add(entry);
      }
    }
    readyByService.values().forEach(list -> list.sort(Comparator.comparing(BackendEntry::id)));
  }

  /** Whether it was built from these entries, compared by identity, and these zones. */
  boolean isBuiltFrom(Collection<BackendEntry> entries, Set<String> evacuated) {
    if (entries.size() != byId.size() || !evacuated.equals(evacuatedZones)) {
      return false;
    }
    for (BackendEntry entry : entries) {
      if (byId.get(entry.id()) != entry) {
        return false;
      }
    }
    return true;
  }

  /** The backends of a service that take new requests, by id. */
  List<BackendEntry> readyBackends(String service) {
    return readyByService.getOrDefault(service, List.of());
  }

  /** Whether the backends of a zone take no new requests. */
  boolean isEvacuated(String zone) {
    return evacuatedZones.contains(zone);
  }

  /** Zones whose backends take no new requests. */
  Set<String> evacuatedZones() {
    return evacuatedZones;
  }

  Optional<BackendEntry> byId(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** The entries at an address; several until a restarted backend has replaced its old entry. */
  List<BackendEntry> atAddress(PeerAddress address) {
    List<BackendEntry> atHost = atHost(address.host());
    for (BackendEntry entry : atHost) {
      if (!entry.address().equals(address)) {
        return atHost.stream().filter(candidate -> candidate.address().equals(address)).toList();
      }
    }
    // The usual case: a machine has one backend.
    return atHost;
  }

  /** The entries at an IP address. */
  List<BackendEntry> atHost(String host) {
    return byHost.getOrDefault(host, List.of());
  }

  /** IP addresses of all backends. */
  Set<String> hosts() {
    return byHost.keySet();
  }

  Collection<BackendEntry> all() {
    return byId.values();
  }
}
