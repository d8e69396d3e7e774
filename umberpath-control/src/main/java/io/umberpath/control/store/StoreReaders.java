package io.umberpath.control.store;

import io.umberpath.control.membership.RendezvousHash;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Ranks the nodes of a zone as readers of the store; the other nodes receive its changes from the
 * readers. Every node computes the same ranking without exchanging messages; {@link ReaderElection}
 * decides by rank.
 */
public final class StoreReaders {
  /**
   * Minimum number of readers in all zones together, so that changes still arrive before the loss
   * of some of them is noticed. If the store rejects a random third of the machines, all four are
   * among the rejected ones once in 80 cases.
   */
  private static final int MIN_READERS = 4;

  private static final String TASK = "store-reader";

  private StoreReaders() {}

  /**
   * The other nodes that rank before a node as readers, in rank order.
   *
   * @param self the node
   * @param others the other reachable nodes of its zone
   * @param refused nodes to whose calls the store did not respond recently: they read only if too
   *     few others are left
   */
  static List<String> rankedBefore(String self, Collection<String> others, Set<String> refused) {
    Comparator<String> order =
        Comparator.<String, Boolean>comparing(refused::contains).thenComparing(rankOrder());
    return others.stream().filter(other -> order.compare(other, self) < 0).sorted(order).toList();
  }

  /** The order in which nodes become readers, highest rank first. */
  public static Comparator<String> rankOrder() {
    return RendezvousHash.order(TASK);
  }

  /** Number of readers per zone: one, or more if there are few zones. */
  static int readersPerZone(int zones) {
    return Math.max(1, (MIN_READERS + zones - 1) / Math.max(1, zones));
  }
}
