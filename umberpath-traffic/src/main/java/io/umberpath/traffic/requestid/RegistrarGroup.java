package io.umberpath.traffic.requestid;

import io.umberpath.traffic.Subsetting;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/** Which nodes are the registrars of a pool. Pure functions, equal on every node. */
public final class RegistrarGroup {
  private RegistrarGroup() {}

  /**
   * The registrars of a pool.
   *
   * @param pool name of the pool
   * @param nodes identities of all nodes that can be registrars, in any order
   * @param size registrars of a group; fewer if there are fewer nodes, the quorum stays the same
   */
  public static List<String> of(String pool, Collection<String> nodes, int size) {
    List<String> order = Subsetting.order(pool, List.copyOf(new TreeSet<>(nodes)), node -> node);
    return order.subList(0, Math.min(size, order.size()));
  }
}
