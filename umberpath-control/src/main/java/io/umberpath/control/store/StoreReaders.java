package io.umberpath.control.store;

import io.umberpath.control.membership.Rendezvous;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Which nodes of a zone are due to call the store; the others take its changes from them. Each node
 * ranks them alike by itself, without a message; {@link ReaderElection} decides by the rank.
 */
public final class StoreReaders {
  /**
   * Readers of all zones together at least: changes still arrive while the loss of some is not
   * noticed. Of machines that the store turns away at random, a third say, all four are among them
   * once in 80 times.
   */
  private static final int MIN_READERS = 4;

  private static final String TASK = "store-reader";

  private StoreReaders() {}

  /**
   * The other nodes that rank before a node as readers, first ones first.
   *
   * @param self the node
   * @param others the other nodes of its zone that are in reach
   * @param refused nodes that the store did not answer lately: they read only if too few others are
   *     left
   */
  static List<String> rankedBefore(String self, Collection<String> others, Set<String> refused) {
    Comparator<String> order =
        Comparator.<String, Boolean>comparing(refused::contains).thenComparing(rank());
    return others.stream().filter(other -> order.compare(other, self) < 0).sorted(order).toList();
  }

  /** The order in which nodes are due to call the store, first ones first. */
  public static Comparator<String> rank() {
    return Rendezvous.order(TASK);
  }

  /** Readers of each of so many zones: one, or more where the zones are few. */
  static int readersPerZone(int zones) {
    return Math.max(1, (MIN_READERS + zones - 1) / Math.max(1, zones));
  }
}
