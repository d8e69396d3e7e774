package io.umberpath.control.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Failure detection at fleet sizes that no other test starts, in virtual time. Guards against false
 * positives: when reports went to 40 random receivers, 24 of 100 healthy nodes counted as silent at
 * 95 nodes.
 */
final class MembershipAtScaleTest {
  private static final long SEED = 7;
  private static final long RUN_MILLIS = 15_000;
  private static final long PAUSE_MILLIS = 600;

  /** A node's view of its peers and the times of the reports that it received from its zone. */
  private static final class Node {
    private final String host;
    private final String zone;
    private final KnownPeers known;
    private final ReportSchedule schedule;
    private final List<String> sameZone = new ArrayList<>();
    private final Map<String, List<String>> otherZones = new HashMap<>();
    private final Map<String, Long> sameZoneHeardAt = new HashMap<>();
    private SilenceTimeouts timeouts;
    private Set<String> silent = Set.of();
    private boolean isDead;
    private long sent;

    Node(String host, String zone) {
      this.host = host;
      this.zone = zone;
      this.known = new KnownPeers(host, 10_000, PAUSE_MILLIS);
      this.schedule = new ReportSchedule(host);
    }

    /**
     * Returns the same set while nothing changes, so that the schedule does not rank delegates
     * again.
     */
    Set<String> silent(long now) {
      Set<String> current = known.silentPeers(now);
      if (!current.equals(silent)) {
        silent = current;
      }
      return silent;
    }
  }

  private final Random random = new Random(SEED);
  private final Map<String, Node> nodes = new HashMap<>();
  private double lossProbability;

  private void build(int size, int zones) {
    for (int index = 0; index < size; index++) {
      String host = "10.0." + index / 250 + "." + index % 250;
      nodes.put(host, new Node(host, "zone-" + index % zones));
    }
    for (Node node : nodes.values()) {
      for (Node other : nodes.values()) {
        if (other.zone.equals(node.zone)) {
          if (other != node) {
            node.sameZone.add(other.host);
          }
        } else {
          node.otherZones.computeIfAbsent(other.zone, absent -> new ArrayList<>()).add(other.host);
        }
      }
      SilenceTimeouts times = SilenceTimeouts.of(node.sameZone.size() + 1);
      node.timeouts = times;
      Map<String, KnownPeers.ListedPeer> listed = new HashMap<>();
      for (Node other : nodes.values()) {
        boolean isNear = other.zone.equals(node.zone);
        long silentMillis = isNear ? times.nearMillis() : times.farMillis();
        listed.put(other.host, new KnownPeers.ListedPeer(other.zone, silentMillis));
      }
      node.known.replaceListed(0, listed);
    }
  }

  private void round(long now) {
    for (Node node : nodes.values()) {
      if (!node.isDead) {
        node.known.tick(now);
        send(now, node);
      }
    }
  }

  private void send(long now, Node node) {
    Set<String> silent = node.silent(now);
    Set<String> suspects = node.known.silentFor(node.sameZone, now, node.timeouts.suspectMillis());
    ReportSchedule.Round round =
        node.schedule.next(node.sameZone, node.otherZones, silent, suspects);
    boolean needsDigest = !round.gossipTo().isEmpty() || !round.digestTo().isEmpty();
    Map<String, Long> digest = needsDigest ? digest(now, node, silent) : Map.of();
    for (String host : round.gossipTo()) {
      Node receiver = nodes.get(host);
      if (arrives(node, receiver)) {
        receive(receiver, digest);
      }
    }
    for (String host : round.reportTo()) {
      Node receiver = nodes.get(host);
      if (arrives(node, receiver)) {
        receive(receiver, Map.of(node.host, now));
      }
    }
    for (String host : round.digestTo()) {
      Node receiver = nodes.get(host);
      if (arrives(node, receiver)) {
        relay(digest, receiver);
      }
    }
  }

  private static void receive(Node receiver, Map<String, Long> reports) {
    reports.forEach(
        (host, at) -> {
          receiver.known.recordHeard(at, host);
          if (!host.equals(receiver.host)) {
            receiver.sameZoneHeardAt.merge(host, at, Math::max);
          }
        });
  }

  private Map<String, Long> digest(long now, Node node, Set<String> silent) {
    Map<String, Long> digest = new HashMap<>(node.sameZoneHeardAt);
    digest.keySet().removeAll(silent);
    digest.put(node.host, now);
    return digest;
  }

  private void relay(Map<String, Long> digest, Node relay) {
    digest.forEach((host, at) -> relay.known.recordHeard(at, host));
    for (String near : relay.sameZone) {
      Node receiver = nodes.get(near);
      if (arrives(relay, receiver)) {
        digest.forEach((host, at) -> receiver.known.recordHeard(at, host));
      }
    }
  }

  private boolean arrives(Node from, Node to) {
    from.sent++;
    boolean otherZone = !from.zone.equals(to.zone);
    return !to.isDead && !(otherZone && random.nextDouble() < lossProbability);
  }

  @ParameterizedTest
  @CsvSource({"10, 3", "74, 3", "95, 7", "100, 7", "300, 7", "300, 3", "1000, 8"})
  void noHealthyNodeIsSilentAndMessagesStayBounded(int size, int zones) {
    lossProbability = 0.05;
    build(size, zones);

    for (long now = 0; now < RUN_MILLIS; now += SilenceTimeouts.ROUND_MILLIS) {
      round(now);
      for (Node node : nodes.values()) {
        Set<String> silent = node.known.silentPeers(now);
        if (!silent.isEmpty()) {
          assertThat(silent).as("%s ms, %s", now, node.host).isEmpty();
        }
      }
    }

    long sent = nodes.values().stream().mapToLong(node -> node.sent).sum();
    double messagesPerSecond = sent / (double) size / (RUN_MILLIS / 1_000.0);
    int zoneSize = size / zones;
    // Gossip of a round goes to at most five other nodes, reports in a large zone to at most forty.
    int messagesPerRound =
        zoneSize < GossipRing.MAX_GOSSIP_NODES ? 5 : ReportSchedule.MAX_DIRECT_RECEIVERS;
    assertThat(messagesPerSecond)
        .isLessThan(4 * messagesPerRound + 3 * ReportSchedule.DELEGATES * zones + 4);
  }

  @ParameterizedTest
  @CsvSource({"10, 3", "95, 7", "300, 7", "1000, 8"})
  void failedNodesBecomeSilentToAllOthersWithinTheTimeoutsOfTheirZone(int size, int zones) {
    build(size, zones);
    for (long now = 0; now < 5_000; now += SilenceTimeouts.ROUND_MILLIS) {
      round(now);
    }
    Set<String> dead = new HashSet<>();
    for (Node node : nodes.values()) {
      // A tenth of the nodes, including delegates and relays.
      if (Math.floorMod(node.host.hashCode(), 10) == 0) {
        node.isDead = true;
        dead.add(node.host);
      }
    }
    long end = 5_000 + SilenceTimeouts.of(size / zones + 1).farMillis() + 1_000;
    for (long now = 5_000; now < end; now += SilenceTimeouts.ROUND_MILLIS) {
      round(now);
      for (Node node : nodes.values()) {
        // Reports of live nodes must be routed around the failed ones.
        if (!node.isDead && !dead.containsAll(node.known.silentPeers(now))) {
          assertThat(dead).containsAll(node.known.silentPeers(now));
        }
      }
    }

    for (Node node : nodes.values()) {
      if (!node.isDead) {
        assertThat(node.known.silentPeers(end)).containsExactlyInAnyOrderElementsOf(dead);
      }
    }
  }
}
