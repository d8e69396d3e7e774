package io.umberpath.control.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Whom a node of a zone sends what it knows of the zone to, so that each report reaches all others
 * in two rounds although each node sends few messages: with 25 nodes 16 a second, where reports to
 * everyone take 96. Nodes stand on a ring by address. With {@code r*r} nodes a node sends to those
 * at distances {@code 1..r-1} in one round and {@code r, 2r, ..} in the next: any distance is a sum
 * of two such steps, in either order, so that there are two ways between most pairs.
 */
public final class GossipRing {
  /** Nodes up to which each sends to every other one in each round. */
  private static final int MAX_FULL_MESH_NODES = 5;

  /**
   * Nodes up to which a zone gossips; reports of more of them, passed on this often, would take
   * more bytes than reports from each to each.
   */
  public static final int MAX_GOSSIP_NODES = 36;

  private GossipRing() {}

  /** Rounds in which a report reaches every node of a zone of so many, none being lost. */
  public static int hops(int nodes) {
    return nodes <= MAX_FULL_MESH_NODES ? 1 : 2;
  }

  /**
   * Receivers of one round.
   *
   * @param ring the zone's nodes in the order of the ring, the sender among them
   * @param position where the sender stands
   * @param round rises by one each time
   */
  static List<String> receivers(List<String> ring, int position, int round) {
    int nodes = ring.size();
    int hops = hops(nodes);
    int radix = (int) Math.ceil(Math.pow(nodes, 1.0 / hops));
    int step = (int) Math.pow(radix, Math.floorMod(round, hops));
    List<String> receivers = new ArrayList<>();
    for (int distance = step; distance < nodes && distance < step * radix; distance += step) {
      receivers.add(ring.get((position + distance) % nodes));
    }
    return receivers;
  }
}
