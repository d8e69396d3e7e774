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
 * The other nodes as one round of reports sees them. Immutable.
 *
 * @param others all of them
 * @param near those of the own zone, and those whose zone is not known
 * @param farByZone those of each other zone
 * @param silent those that have been silent for too long
 * @param ineligible those to whom nothing is left that one node does for its zone: the silent ones,
 *     and those whose zone is not known, which may be counted in each zone
 */
record PeerView(
    Set<String> others,
    Set<String> near,
    Map<String, List<String>> farByZone,
    Set<String> silent,
    Set<String> ineligible) {
  static final PeerView EMPTY = new PeerView(Set.of(), Set.of(), Map.of(), Set.of(), Set.of());

  /** Sorts nodes by zone. */
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

  /** Nodes of the own zone, and those whose zone is not known, that are not silent. */
  Set<String> reachableNear() {
    Set<String> reachable = new HashSet<>(near);
    reachable.removeAll(silent);
    return reachable;
  }

  /** Nodes known to be of the own zone that are not silent. */
  Set<String> reachableInZone() {
    Set<String> reachable = new HashSet<>(near);
    reachable.removeAll(ineligible);
    return reachable;
  }

  /** Zones that have nodes, the own one included. */
  int zones() {
    return farByZone.size() + 1;
  }
}
