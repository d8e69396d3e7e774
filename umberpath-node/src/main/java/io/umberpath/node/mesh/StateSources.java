package io.umberpath.node.mesh;

import io.umberpath.control.store.StorePosition;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Nodes that stated something newer than this node holds, and which of them is to be asked next:
 * one after the other, so that one that does not answer costs its turn only. Owner synchronizes.
 */
final class StateSources {
  /** What a node stated last. */
  private record AdvertisedState(String host, long version, StorePosition position) {
    boolean isAheadOf(MeshView view) {
      return view.isBehind(version, position);
    }
  }

  private final Map<String, AdvertisedState> advertisedByHost = new HashMap<>();
  private final Set<String> triedHosts = new HashSet<>();
  private final Supplier<Random> random;

  StateSources(Supplier<Random> random) {
    this.random = random;
  }

  /** A node states what it holds. */
  void recordAdvertised(String host, long version, StorePosition position) {
    advertisedByHost.put(host, new AdvertisedState(host, version, position));
  }

  /** Whether a node holds something newer. */
  boolean hasNewer(MeshView view) {
    removeOutdated(view);
    return !advertisedByHost.isEmpty();
  }

  private void removeOutdated(MeshView view) {
    advertisedByHost.values().removeIf(advertised -> !advertised.isAheadOf(view));
  }

  /**
   * The node to ask next: first those that were not asked since {@link #resetTried}, of these the
   * one that is furthest, of equals the last source, whose patches lead on from what it gave. Else
   * one is drawn, so that not all nodes go to the same one.
   *
   * @param isSilent whether a node is out of reach
   */
  Optional<String> next(MeshView view, String lastSource, Predicate<String> isSilent) {
    removeOutdated(view);
    List<AdvertisedState> candidates = new ArrayList<>(advertisedByHost.values());
    candidates.removeIf(advertised -> isSilent.test(advertised.host()));
    if (candidates.stream().allMatch(advertised -> triedHosts.contains(advertised.host()))) {
      triedHosts.clear();
    }
    candidates.removeIf(advertised -> triedHosts.contains(advertised.host()));
    Collections.shuffle(candidates, random.get());
    return candidates.stream()
        .max(
            Comparator.comparing(AdvertisedState::position)
                .thenComparingLong(AdvertisedState::version)
                .thenComparing(advertised -> advertised.host().equals(lastSource)))
        .map(AdvertisedState::host);
  }

  /** A node is being asked. */
  void markTried(String host) {
    triedHosts.add(host);
  }

  /** All may be asked again: a transfer gave something, or this node is level with them. */
  void resetTried() {
    triedHosts.clear();
  }
}
