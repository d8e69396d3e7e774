package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.membership.KnownPeers;
import io.umberpath.control.membership.SilenceTimeouts;
import io.umberpath.control.store.ReaderElection;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a loss of all readers after one machine fails. The node that ranks first as a
 * reader loses power, its zone detects it as silent after 1 s, and another node reads. 3.7 s later
 * the lease of the dead node's backend expires. On that removal each node once took the dead node
 * for heard again, for a node of its own zone, and for the reader there. All four zones stopped
 * reading, and no configuration reached any node for 5 s, until the dead node was removed 10 s
 * after its last report, and a route acknowledged 2.1 s before was answered with 404. In the log,
 * "peer-heard" named a machine without power, and "store-reader ends" appeared in all zones within
 * a second.
 */
final class ReaderFailoverTest {
  private static final long UNLISTED_RETENTION_MILLIS = 10_000;
  private static final long PROCESS_PAUSE_MILLIS = 600;
  private static final long LOSS_MILLIS = 5_000;
  private static final long LEASE_MILLIS = 4_500;
  private static final long END_MILLIS = 30_000;

  /** Number of zones from which on each zone has one reader. */
  private static final int ONE_READER_ZONES = 4;

  /** A node with its known peers. */
  private static final class Node {
    private final String host;
    private final String zone;
    private final KnownPeers knownPeers;
    private Set<String> listed = Set.of();

    Node(String host, String zone) {
      this.host = host;
      this.zone = zone;
      this.knownPeers = new KnownPeers(host, UNLISTED_RETENTION_MILLIS, PROCESS_PAUSE_MILLIS);
    }
  }

  private final Map<String, Node> nodes = new HashMap<>();
  private final Map<String, String> zones = new HashMap<>();

  private void buildFleet(int zoneCount, int zoneNodes) {
    for (int zone = 0; zone < zoneCount; zone++) {
      for (int index = 0; index < zoneNodes; index++) {
        String host = "10." + (zone + 1) + ".0." + (index + 3);
        nodes.put(host, new Node(host, "zone-" + zone));
        zones.put(host, "zone-" + zone);
      }
    }
  }

  /** The node that ranks first as a reader. */
  private String firstRanked() {
    return nodes.keySet().stream().filter(host -> ranksFirst(host, nodes.keySet())).findAny().get();
  }

  private static boolean ranksFirst(String host, Collection<String> all) {
    List<String> others = new ArrayList<>(all);
    others.remove(host);
    return isReader(host, new HashSet<>(others), ONE_READER_ZONES);
  }

  /** Decides by rank alone: all other nodes are taken to call the store. */
  private static boolean isReader(String host, Set<String> others, int zones) {
    ReaderElection election = new ReaderElection(host, SilenceTimeouts.ROUND_MILLIS);
    return election.decide(0, others, others, Set.of(), zones, 0).isReader();
  }

  private void updateListed(long now, Node node, Set<String> listed) {
    if (listed.equals(node.listed)) {
      return;
    }
    node.listed = listed;
    SilenceTimeouts times =
        SilenceTimeouts.of((int) listed.stream().filter(isInZoneOf(node)).count());
    Map<String, KnownPeers.ListedPeer> entries = new HashMap<>();
    for (String host : listed) {
      long silentMillis = isInZoneOf(node).test(host) ? times.nearMillis() : times.farMillis();
      entries.put(host, new KnownPeers.ListedPeer(zones.get(host), silentMillis));
    }
    node.knownPeers.replaceListed(now, entries);
  }

  private Predicate<String> isInZoneOf(Node node) {
    return host -> zones.get(host).equals(node.zone);
  }

  private boolean isReader(long now, Node node) {
    PeerView view =
        PeerView.of(
            node.knownPeers.others(),
            node.knownPeers.silentPeers(now),
            node.zone,
            node.knownPeers::zoneOf);
    return isReader(node.host, view.reachableInZone(), view.zones());
  }

  /** Runs a round in which all nodes receive a report of each living node. */
  private void runRound(long now, Set<String> dead, Set<String> listed) {
    for (Node node : nodes.values()) {
      for (String host : nodes.keySet()) {
        if (!dead.contains(host)) {
          node.knownPeers.recordHeard(now, host);
        }
      }
      node.knownPeers.tick(now);
      updateListed(now, node, listed);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 12})
  void everyZoneKeepsAReaderWhenTheFirstRankedNodeIsLost(int zoneNodes) {
    buildFleet(ONE_READER_ZONES, zoneNodes + 1);
    String lost = firstRanked();
    long detectedMillis = LOSS_MILLIS + SilenceTimeouts.of(zoneNodes + 1).nearMillis();

    for (long now = 0; now < END_MILLIS; now += SilenceTimeouts.ROUND_MILLIS) {
      boolean isExpired = now >= LOSS_MILLIS + LEASE_MILLIS;
      Set<String> dead = now < LOSS_MILLIS ? Set.of() : Set.of(lost);
      Set<String> listed = new HashSet<>(nodes.keySet());
      if (isExpired) {
        listed.remove(lost);
      }
      runRound(now, dead, listed);
      if (now < LOSS_MILLIS || now > detectedMillis) {
        assertThat(zonesWithReader(now, dead)).as("at %d ms", now).hasSize(ONE_READER_ZONES);
      }
    }
  }

  private Set<String> zonesWithReader(long now, Set<String> dead) {
    Set<String> served = new HashSet<>();
    for (Node node : nodes.values()) {
      if (!dead.contains(node.host) && isReader(now, node)) {
        served.add(node.zone);
      }
    }
    return served;
  }

  /** A node whose backend's entry has expired is still alive and reads for its zone. */
  @Test
  void unlistedReaderKeepsReadingWhileItReports() {
    buildFleet(ONE_READER_ZONES, 3);
    String first = firstRanked();
    Set<String> listed = new HashSet<>(nodes.keySet());
    listed.remove(first);

    for (long now = 0; now < END_MILLIS; now += SilenceTimeouts.ROUND_MILLIS) {
      runRound(now, Set.of(), now < LOSS_MILLIS ? nodes.keySet() : listed);
      assertThat(zonesWithReader(now, Set.of())).as("at %d ms", now).hasSize(ONE_READER_ZONES);
    }
  }
}
