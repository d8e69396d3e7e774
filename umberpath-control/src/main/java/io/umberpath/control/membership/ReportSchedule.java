package io.umberpath.control.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Whom a node reports to in each round. Within a zone every node reports to every other one, in
 * turn where the zone is large. Between zones a few delegates of each zone send a digest of all of
 * its nodes to one node there, which relays it. So the longest time between two reports of a node
 * is fixed, and the messages of a node do not grow with the number of nodes elsewhere. Owner
 * synchronizes.
 */
public final class ReportSchedule {
  /** Nodes of its own zone that a node reports to in one round at most. */
  public static final int MAX_NEAR_RECEIVERS = 40;

  /** Delegates of a zone for each other zone; with two, one may be lost without a gap. */
  public static final int DELEGATES = 2;

  /** Rounds from one digest of a delegate to its next. */
  public static final int ROUNDS_PER_DIGEST = 4;

  /**
   * One round.
   *
   * @param reportTo nodes that get this node's own report
   * @param digestTo nodes of other zones that get a digest of the own zone
   */
  public record Round(List<String> reportTo, List<String> digestTo) {}

  private final String self;
  private final int phase;
  private Duties duties;
  private int nextNear;
  private int round;
  private int relayTurn;

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
   * @param silent nodes out of reach: they are reported to, in case they are not, but do not count
   *     as delegates, nor get digests while others are left
   */
  public Round next(Collection<String> near, Map<String, List<String>> far, Set<String> silent) {
    if (duties == null || !duties.holdFor(near, far, silent)) {
      duties = duties(near, far, silent);
    }
    List<String> reportTo = nearReceivers(duties.orderedNear());
    List<String> digestTo = new ArrayList<>();
    if (Math.floorMod(round, ROUNDS_PER_DIGEST) == phase) {
      int turn = round / ROUNDS_PER_DIGEST;
      for (String zone : duties.zones()) {
        digestTo.add(receiver(zone, far.get(zone), silent, turn));
      }
    }
    round++;
    return new Round(reportTo, digestTo);
  }

  /**
   * What this node has to do while the nodes stay the same ones: ranking them costs some hundred
   * hashes, which are not made again each round.
   *
   * @param near the nodes that it was worked out from; compared by identity, as callers pass the
   *     same collections on until something changes
   * @param orderedNear the nodes of the own zone in order
   * @param zones zones for which this node is a delegate
   */
  private record Duties(
      Collection<String> near,
      Map<String, List<String>> far,
      Set<String> silent,
      List<String> orderedNear,
      List<String> zones) {
    boolean holdFor(Collection<String> near, Map<String, List<String>> far, Set<String> silent) {
      return this.near == near && this.far == far && this.silent == silent;
    }
  }

  private Duties duties(
      Collection<String> near, Map<String, List<String>> far, Set<String> silent) {
    Set<String> electable = new HashSet<>(near);
    electable.removeAll(silent);
    electable.add(self);
    List<String> zones = new ArrayList<>();
    for (String zone : far.keySet()) {
      if (Rendezvous.first(DELEGATES, electable, zone).contains(self)) {
        zones.add(zone);
      }
    }
    return new Duties(near, far, silent, List.copyOf(new TreeSet<>(near)), zones);
  }

  /** One reachable node of each other zone, for news that it is to relay there at once. */
  public List<String> relays(Map<String, List<String>> far, Set<String> silent) {
    int turn = relayTurn++;
    List<String> relays = new ArrayList<>();
    far.forEach((zone, hosts) -> relays.add(receiver(zone, hosts, silent, turn)));
    return relays;
  }

  private List<String> nearReceivers(List<String> ordered) {
    if (ordered.size() <= MAX_NEAR_RECEIVERS) {
      return ordered;
    }
    List<String> receivers = new ArrayList<>();
    for (int count = 0; count < MAX_NEAR_RECEIVERS; count++) {
      receivers.add(ordered.get(Math.floorMod(nextNear + count, ordered.size())));
    }
    nextNear = Math.floorMod(nextNear + MAX_NEAR_RECEIVERS, ordered.size());
    return receivers;
  }

  /** Another one each time, so that one that is lost, or does not relay, costs a single digest. */
  private String receiver(String zone, List<String> hosts, Set<String> silent, int turn) {
    List<String> reachable =
        hosts.stream().filter(host -> !silent.contains(host)).sorted().toList();
    List<String> choice = reachable.isEmpty() ? hosts : reachable;
    int offset = (self + '/' + zone).hashCode();
    return choice.get(Math.floorMod(offset + turn, choice.size()));
  }

  /**
   * Rounds from one report of a node to its next to the same node of its zone.
   *
   * @param zoneNodes nodes of the zone, that node included
   */
  public static int roundsBetweenReports(int zoneNodes) {
    int others = Math.max(1, zoneNodes - 1);
    return (others + MAX_NEAR_RECEIVERS - 1) / MAX_NEAR_RECEIVERS;
  }
}
