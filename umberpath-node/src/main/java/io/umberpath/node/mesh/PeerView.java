package io.umberpath.node.mesh;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * The other nodes as of one round of reports. Immutable.
 *
 * @param others all other nodes
 * @param near nodes of this node's zone and nodes of unknown zone
 * @param farByZone nodes of each other zone
 * @param silent nodes that have sent no reports for too long
 * @param ineligible nodes that get no task of a zone: the silent ones, and those of unknown zone,
 *     which every zone might count as its own
 */
record PeerView(
    Set<String> others,
    Set<String> near,
    Map<String, List<String>> farByZone,
    Set<String> silent,
    Set<String> ineligible) {
  static final PeerView EMPTY = new PeerView(Set.of(), Set.of(), Map.of(), Set.of(), Set.of());

  /** Groups nodes by zone. */
  static PeerView of(
      Set<String> others,
      Set<String> silent,
      String ownZone,
      Function<String, Optional<String>> zoneOf) {
    Set<String> near = new HashSet<>();
    Set<String> ineligible = new HashSet<>(silent);
    Map<String, List<String>> far = new HashMap<>();
    for (String host : others) {
      Optional<String> zone = zoneOf.apply(host);
      if (zone.isEmpty()) {
        ineligible.add(host);
        near.add(host);
      } else if (zone.get().equals(ownZone)) {
        near.add(host);
      } else {
        far.computeIfAbsent(zone.get(), absent -> new ArrayList<>()).add(host);
      }
    }
    return new PeerView(others, near, far, silent, ineligible);
  }

  /** Nodes of this node's zone or of unknown zone that are not silent. */
  Set<String> reachableNear() {
    Set<String> reachable = new HashSet<>(near);
    reachable.removeAll(silent);
    return reachable;
  }

  /** Nodes known to be in this node's zone that are not silent. */
  Set<String> reachableInZone() {
    Set<String> reachable = new HashSet<>(near);
    reachable.removeAll(ineligible);
    return reachable;
  }

  /** Number of zones with nodes, this node's own included. */
  int zones() {
    return farByZone.size() + 1;
  }
}
