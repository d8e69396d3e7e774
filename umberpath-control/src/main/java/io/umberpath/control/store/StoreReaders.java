package io.umberpath.control.store;

import io.umberpath.control.membership.Rendezvous;
import java.util.Collection;
import java.util.Comparator;
import java.util.Set;

/**
 * Which nodes of a zone call the store; the others take its changes from them. Each node decides
 * for itself by the same rank, so that no message is needed: where views differ for a moment, one
 * more node reads, or one less of several.
 */
public final class StoreReaders {
  /** Readers of a zone; with two, changes still arrive while the loss of one is not noticed. */
  public static final int READERS_PER_ZONE = 2;

  private static final String TASK = "store-reader";

  private StoreReaders() {}

  /**
   * Whether a node is to call the store.
   *
   * @param self the node
   * @param others the other nodes of its zone that are in reach
   * @param refused nodes that the store did not answer lately: they read only if too few others are
   *     left
   */
  public static boolean reads(String self, Collection<String> others, Set<String> refused) {
    Comparator<String> rank =
        Comparator.<String, Boolean>comparing(refused::contains)
            .thenComparing(Rendezvous.order(TASK));
    long ahead = others.stream().filter(other -> rank.compare(other, self) < 0).count();
    return ahead < READERS_PER_ZONE;
  }
}
