package io.umberpath.control.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Selects the receivers of a node's reports in each round. Within a zone a node sends the latest
 * reports of the zone that it holds along a {@link GossipRing}; in a large zone it sends its own
 * report to all other nodes in turn. Between zones a few delegates of each zone send a digest of
 * all nodes of their zone to one node of the other zone, which relays it. The longest time between
 * two reports of a node is therefore fixed, and the number of messages that a node sends does not
 * grow with the number of nodes elsewhere. The owner synchronizes access.
 */
public final class ReportSchedule {
  /** Maximum number of nodes of a large zone that a node reports to in one round. */
  public static final int MAX_DIRECT_RECEIVERS = 40;

  /** Delegates of a zone for each other zone; with two, the loss of one causes no gap. */
  public static final int DELEGATES = 2;

  /** Number of rounds between two digests of a delegate. */
  public static final int ROUNDS_PER_DIGEST = 4;

  /**
   * The receivers of one round.
   *
   * @param reportTo nodes of this node's zone that get its own report
   * @param gossipTo nodes of this node's zone that get the latest reports of the zone
   * @param digestTo nodes of other zones that get a digest of this node's zone
   */
  public record Round(List<String> reportTo, List<String> gossipTo, List<String> digestTo) {}

  private final String self;
  private final int phase;
  private Assignment assignment;
  private int nextDirectIndex;
  private int round;
  private int relayCount;

  /** Creates the schedule for the node at an address. */
  public ReportSchedule(String self) {
    this.self = self;
    this.phase = Math.floorMod(self.hashCode(), ROUNDS_PER_DIGEST);
  }

  /**
   * Computes the next round.
   *
   * @param near the other nodes of this node's zone
   * @param far the nodes of each other zone, by zone
   * @param ineligible nodes that are unreachable or whose zone is unknown: they are not chosen as
   *     delegates and get no digests while others are available
   * @param suspects nodes of this node's zone that may be unreachable, including silent ones: no
   *     report is forwarded through them, but one of them in turn receives the reports in case it
   *     is alive
   */
  public Round next(
      Collection<String> near,
      Map<String, List<String>> far,
      Set<String> ineligible,
      Set<String> suspects) {
    if (assignment == null || !assignment.isValidFor(near, far, ineligible)) {
      assignment = assign(near, far, ineligible);
    }
    boolean usesGossip = assignment.ordered().size() <= GossipRing.MAX_GOSSIP_NODES;
    List<String> reportTo = usesGossip ? List.of() : directReceivers(assignment.ordered());
    List<String> gossipTo =
        usesGossip ? gossipReceivers(assignment.ordered(), suspects) : List.of();
    List<String> digestTo = new ArrayList<>();
    if (Math.floorMod(round, ROUNDS_PER_DIGEST) == phase) {
      int rotation = round / ROUNDS_PER_DIGEST;
      for (String zone : assignment.zones()) {
        digestTo.add(receiver(zone, far.get(zone), ineligible, rotation));
      }
    }
    round++;
    return new Round(reportTo, gossipTo, digestTo);
  }

  private List<String> gossipReceivers(List<String> ordered, Set<String> suspects) {
    List<String> ring = new ArrayList<>(ordered.size());
    List<String> excluded = new ArrayList<>();
    for (String host : ordered) {
      (suspects.contains(host) ? excluded : ring).add(host);
    }
    List<String> receivers = GossipRing.receivers(ring, ring.indexOf(self), round);
    if (!excluded.isEmpty()) {
      receivers.add(excluded.get(Math.floorMod(round, excluded.size())));
    }
    return receivers;
  }

  private List<String> directReceivers(List<String> ordered) {
    List<String> receivers = new ArrayList<>();
    int count = Math.min(MAX_DIRECT_RECEIVERS + 1, ordered.size());
    for (int index = 0; index < count; index++) {
      receivers.add(ordered.get(Math.floorMod(nextDirectIndex + index, ordered.size())));
    }
    if (!receivers.remove(self)) {
      receivers.remove(receivers.size() - 1);
    }
    nextDirectIndex = Math.floorMod(nextDirectIndex + MAX_DIRECT_RECEIVERS, ordered.size());
    return receivers;
  }

  /**
   * The tasks of this node for an unchanged set of nodes. Cached because ranking the nodes takes
   * some hundred hashes, which would otherwise be repeated each round.
   *
   * @param near the nodes that it was computed from; compared by identity, because callers pass the
   *     same collections until something changes
   * @param ordered the nodes of this node's zone in order, including this node
   * @param zones zones for which this node is a delegate
   */
  private record Assignment(
      Collection<String> near,
      Map<String, List<String>> far,
      Set<String> ineligible,
      List<String> ordered,
      List<String> zones) {
    boolean isValidFor(
        Collection<String> near, Map<String, List<String>> far, Set<String> ineligible) {
      return this.near == near && this.far == far && this.ineligible == ineligible;
    }
  }

  private Assignment assign(
      Collection<String> near, Map<String, List<String>> far, Set<String> ineligible) {
    Set<String> eligible = new HashSet<>(near);
    eligible.removeAll(ineligible);
    eligible.add(self);
    List<String> zones = new ArrayList<>();
    for (String zone : far.keySet()) {
      if (RendezvousHash.select(DELEGATES, eligible, zone).contains(self)) {
        zones.add(zone);
      }
    }
    Set<String> ordered = new TreeSet<>(near);
    ordered.add(self);
    return new Assignment(near, far, ineligible, List.copyOf(ordered), zones);
  }

  /** One reachable node of each other zone, which must relay an urgent message there. */
  public List<String> relayReceivers(Map<String, List<String>> far, Set<String> silent) {
    int rotation = relayCount++;
    List<String> relays = new ArrayList<>();
    far.forEach((zone, hosts) -> relays.add(receiver(zone, hosts, silent, rotation)));
    return relays;
  }

  /**
   * Selects a different node each time, so that one that is lost or does not relay costs only a
   * single digest.
   */
  private String receiver(String zone, List<String> hosts, Set<String> silent, int rotation) {
    List<String> reachable =
        hosts.stream().filter(host -> !silent.contains(host)).sorted().toList();
    List<String> candidates = reachable.isEmpty() ? hosts : reachable;
    int offset = (self + '/' + zone).hashCode();
    return candidates.get(Math.floorMod(offset + rotation, candidates.size()));
  }

  /**
   * Number of rounds between two reports of a node to the same node, in a zone that does not use
   * gossip.
   *
   * @param zoneNodes number of nodes of the zone, including the reporting node
   */
  static int roundsBetweenReports(int zoneNodes) {
    int others = Math.max(1, zoneNodes - 1);
    return (others + MAX_DIRECT_RECEIVERS - 1) / MAX_DIRECT_RECEIVERS;
  }
}
