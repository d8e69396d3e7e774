package io.umberpath.control.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Whom a node reports to in each round. Within a zone a node sends the latest reports that it holds
 * of the zone along a {@link GossipRing}; in a large one its own to all others, in turn. Between
 * zones a few delegates of each zone send a digest of all of its nodes to one node there, which
 * relays it. So the longest time between two reports of a node is fixed, and the messages of a node
 * do not grow with the number of nodes elsewhere. Owner synchronizes.
 */
public final class ReportSchedule {
  /** Nodes of a large zone that a node reports to in one round at most. */
  public static final int MAX_DIRECT_RECEIVERS = 40;

  /** Delegates of a zone for each other zone; with two, one may be lost without a gap. */
  public static final int DELEGATES = 2;

  /** Rounds from one digest of a delegate to its next. */
  public static final int ROUNDS_PER_DIGEST = 4;

  /**
   * One round.
   *
   * @param reportTo nodes of the own zone that get this node's own report
   * @param gossipTo nodes of the own zone that get the latest reports of the zone
   * @param digestTo nodes of other zones that get a digest of the own zone
   */
  public record Round(List<String> reportTo, List<String> gossipTo, List<String> digestTo) {}

  private final String self;
  private final int phase;
  private Assignment assignment;
  private int nextDirectIndex;
  private int round;
  private int relayCount;

  /** Creates the schedule of the node at an address. */
  public ReportSchedule(String self) {
    this.self = self;
    this.phase = Math.floorMod(self.hashCode(), ROUNDS_PER_DIGEST);
  }

  /**
   * The next round.
   *
   * @param near the other nodes of the own zone
   * @param far the nodes of each other zone
   * @param ineligible nodes that are out of reach, or of a zone that is not known: they do not
   *     count as delegates, nor get digests while others are left
   * @param quiet nodes of the own zone that may be out of reach, silent ones among them: no report
   *     travels through them, but one of them in turn is sent to, in case it is there
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
    List<String> suspectsOnRing = new ArrayList<>();
    for (String host : ordered) {
      (suspects.contains(host) ? suspectsOnRing : ring).add(host);
    }
    List<String> receivers = GossipRing.receivers(ring, ring.indexOf(self), round);
    if (!suspectsOnRing.isEmpty()) {
      receivers.add(suspectsOnRing.get(Math.floorMod(round, suspectsOnRing.size())));
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
   * What this node has to do while the nodes stay the same ones: ranking them costs some hundred
   * hashes, which are not made again each round.
   *
   * @param near the nodes that it was worked out from; compared by identity, as callers pass the
   *     same collections on until something changes
   * @param ordered the nodes of the own zone in order, this one among them
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
      if (Rendezvous.first(DELEGATES, eligible, zone).contains(self)) {
        zones.add(zone);
      }
    }
    Set<String> ordered = new TreeSet<>(near);
    ordered.add(self);
    return new Assignment(near, far, ineligible, List.copyOf(ordered), zones);
  }

  /** One reachable node of each other zone, for news that it is to relay there at once. */
  public List<String> relays(Map<String, List<String>> far, Set<String> silent) {
    int rotation = relayCount++;
    List<String> relays = new ArrayList<>();
    far.forEach((zone, hosts) -> relays.add(receiver(zone, hosts, silent, rotation)));
    return relays;
  }

  /** Another one each time, so that one that is lost, or does not relay, costs a single digest. */
  private String receiver(String zone, List<String> hosts, Set<String> silent, int rotation) {
    List<String> reachable =
        hosts.stream().filter(host -> !silent.contains(host)).sorted().toList();
    List<String> candidates = reachable.isEmpty() ? hosts : reachable;
    int offset = (self + '/' + zone).hashCode();
    return candidates.get(Math.floorMod(offset + rotation, candidates.size()));
  }

  /**
   * Rounds from one report of a node to its next to the same node of a zone that does not gossip.
   *
   * @param zoneNodes nodes of the zone, that node included
   */
  static int roundsBetweenReports(int zoneNodes) {
    int others = Math.max(1, zoneNodes - 1);
    return (others + MAX_DIRECT_RECEIVERS - 1) / MAX_DIRECT_RECEIVERS;
  }
}
