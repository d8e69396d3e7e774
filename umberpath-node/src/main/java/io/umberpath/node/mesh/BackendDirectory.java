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

/** The back ends at one revision of the store. Immutable. */
final class BackendDirectory {
  static final BackendDirectory EMPTY = new BackendDirectory(List.of(), Set.of());

  private final Map<String, BackendEntry> byId = new HashMap<>();
  private final Map<String, List<BackendEntry>> readyByService = new HashMap<>();
  private final Map<String, List<BackendEntry>> byHost = new HashMap<>();
  private final Set<String> evacuatedZones;

  /**
   * Sorts entries.
   *
   * @param evacuatedZones zones whose back ends take no new work
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

  /** Whether it is of these very entries and zones, read once and not read again since. */
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

  /** Those of a service that take new work. */
  List<BackendEntry> ready(String service) {
    return readyByService.getOrDefault(service, List.of());
  }

  /** Whether the back ends of a zone are to get no new work. */
  boolean isEvacuated(String zone) {
    return evacuatedZones.contains(zone);
  }

  /** Zones whose back ends are to get no new work. */
  Set<String> evacuatedZones() {
    return evacuatedZones;
  }

  Optional<BackendEntry> byId(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** The entries at an address; several while a new start has not replaced the old one. */
  List<BackendEntry> at(PeerAddress address) {
    List<BackendEntry> atHost = atHost(address.host());
    for (BackendEntry entry : atHost) {
      if (!entry.address().equals(address)) {
        return atHost.stream().filter(candidate -> candidate.address().equals(address)).toList();
      }
    }
    // As a rule: a machine has one back end.
    return atHost;
  }

  /** The entries at an IP address. */
  List<BackendEntry> atHost(String host) {
    return byHost.getOrDefault(host, List.of());
  }

  /** IP addresses of the machines. */
  Set<String> hosts() {
    return byHost.keySet();
  }

  Collection<BackendEntry> all() {
    return byId.values();
  }
}
