package io.umberpath.control.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Selects the receivers of a node's gossip within a zone so that each report reaches all other
 * nodes in two rounds while each node sends few messages: with 25 nodes 16 messages a second,
 * compared with 96 for direct reports to everyone. The nodes form a ring ordered by address. With
 * {@code r*r} nodes a node sends to those at distances {@code 1..r-1} in one round and {@code r,
 * 2r, ..} in the next: any distance is a sum of two such steps, in either order, so most pairs are
 * connected by two paths.
 */
public final class GossipRing {
  /** Maximum zone size at which each node sends to every other one in each round. */
  private static final int MAX_FULL_MESH_NODES = 5;

  /**
   * Maximum zone size for gossip. Forwarding the reports of a larger zone this often would take
   * more bytes than direct reports between all nodes.
   */
  public static final int MAX_GOSSIP_NODES = 36;

  private GossipRing() {}

  /**
   * Number of rounds in which a report reaches every node of a zone of the given size if no message
   * is lost.
   */
  public static int hops(int nodes) {
    return nodes <= MAX_FULL_MESH_NODES ? 1 : 2;
  }

  /**
   * The receivers in one round.
   *
   * @param ring the zone's nodes in ring order, including the sender
   * @param position index of the sender
   * @param round round number, increasing by one
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
