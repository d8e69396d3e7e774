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
 * The nodes that advertised a newer state than this node's, and the order in which they are asked:
 * in turn, so that one that does not respond costs only its own turn. Not thread-safe; the owner
 * synchronizes.
 */
final class StateSources {
  /** The state that a node advertised last. */
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

  /** Records the state that a node advertises. */
  void recordAdvertised(String host, long version, StorePosition position) {
    advertisedByHost.put(host, new AdvertisedState(host, version, position));
  }

  /** Whether a node is among the sources. */
  boolean contains(String host) {
    return advertisedByHost.containsKey(host);
  }

  /** Whether any node has a newer state. */
  boolean hasNewer(MeshView view) {
    removeOutdated(view);
    return !advertisedByHost.isEmpty();
  }

  /** Whether a reachable node has a newer state. */
  boolean hasReachableNewer(MeshView view, Predicate<String> isReachable) {
    removeOutdated(view);
    return advertisedByHost.keySet().stream().anyMatch(isReachable);
  }

  private void removeOutdated(MeshView view) {
    advertisedByHost.values().removeIf(advertised -> !advertised.isAheadOf(view));
  }

  /**
   * The node to ask next. Nodes that were not asked since {@link #resetTried} come first; of these
   * the one with the newest state; of equals the last source, whose patches continue from the items
   * that it sent. Remaining ties are broken at random, to spread the load over the sources.
   *
   * @param isSilent whether a node counts as unreachable
   */
  Optional<String> nextHost(MeshView view, String lastSource, Predicate<String> isSilent) {
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

  /** Marks a node as asked. */
  void markTried(String host) {
    triedHosts.add(host);
  }

  /** Lets all nodes be asked again, after a useful transfer or once this node is up to date. */
  void resetTried() {
    triedHosts.clear();
  }
}
