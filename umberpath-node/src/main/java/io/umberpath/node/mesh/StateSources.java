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
  private record Stated(String host, long version, StorePosition position) {
    boolean isAheadOf(MeshView view) {
      return view.isBehind(version, position);
    }
  }

  private final Map<String, Stated> statedByHost = new HashMap<>();
  private final Set<String> tried = new HashSet<>();
  private final Supplier<Random> random;

  StateSources(Supplier<Random> random) {
    this.random = random;
  }

  /** A node states what it holds. */
  void state(String host, long version, StorePosition position) {
    statedByHost.put(host, new Stated(host, version, position));
  }

  /** Whether a node holds something newer. */
  boolean isAnyAhead(MeshView view) {
    dropOvertaken(view);
    return !statedByHost.isEmpty();
  }

  private void dropOvertaken(MeshView view) {
    statedByHost.values().removeIf(stated -> !stated.isAheadOf(view));
  }

  /**
   * The node to ask next: first those that were not asked since {@link #beginAnew}, of these the
   * one that is furthest, of equals the last source, whose patches lead on from what it gave. Else
   * one is drawn, so that not all nodes go to the same one.
   *
   * @param isSilent whether a node is out of reach
   */
  Optional<String> next(MeshView view, String lastSource, Predicate<String> isSilent) {
    dropOvertaken(view);
    List<Stated> candidates = new ArrayList<>(statedByHost.values());
    candidates.removeIf(stated -> isSilent.test(stated.host()));
    if (candidates.stream().allMatch(stated -> tried.contains(stated.host()))) {
      tried.clear();
    }
    candidates.removeIf(stated -> tried.contains(stated.host()));
    Collections.shuffle(candidates, random.get());
    return candidates.stream()
        .max(
            Comparator.comparing(Stated::position)
                .thenComparingLong(Stated::version)
                .thenComparing(stated -> stated.host().equals(lastSource)))
        .map(Stated::host);
  }

  /** A node is being asked. */
  void asked(String host) {
    tried.add(host);
  }

  /** All may be asked again: a transfer gave something, or this node is level with them. */
  void beginAnew() {
    tried.clear();
  }
}
