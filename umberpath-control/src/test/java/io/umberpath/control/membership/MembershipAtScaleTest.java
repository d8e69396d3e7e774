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
 * What nodes believe of each other at sizes that no test starts, in virtual time. Reports that went
 * to 40 receivers drawn at random left 24 of 100 healthy nodes for silent at 95 nodes.
 */
final class MembershipAtScaleTest {
  private static final long SEED = 7;
  private static final long RUN_MILLIS = 15_000;
  private static final long PAUSE_MILLIS = 600;

  /** A node's view, and what it heard from others directly. */
  private static final class Node {
    private final String host;
    private final String zone;
    private final KnownPeers known;
    private final ReportSchedule schedule;
    private final List<String> near = new ArrayList<>();
    private final Map<String, List<String>> far = new HashMap<>();
    private final Map<String, Long> nearHeardAt = new HashMap<>();
    private Map<String, Long> silenceByHost;
    private boolean isDead;
    private long sent;

    Node(String host, String zone) {
      this.host = host;
      this.zone = zone;
      this.known = new KnownPeers(host, 10_000, PAUSE_MILLIS);
      this.schedule = new ReportSchedule(host);
    }
  }

  private final Random random = new Random(SEED);
  private final Map<String, Node> nodes = new HashMap<>();
  private double loss;

  private void build(int size, int zones) {
    for (int index = 0; index < size; index++) {
      String host = "10.0." + index / 250 + "." + index % 250;
      nodes.put(host, new Node(host, "zone-" + index % zones));
    }
    for (Node node : nodes.values()) {
      for (Node other : nodes.values()) {
        if (other.zone.equals(node.zone)) {
          if (other != node) {
            node.near.add(other.host);
          }
        } else {
          node.far.computeIfAbsent(other.zone, absent -> new ArrayList<>()).add(other.host);
        }
      }
      SilenceTimes times = SilenceTimes.of(node.near.size() + 1);
      Map<String, Long> silence = new HashMap<>();
      nodes.keySet().forEach(host -> silence.put(host, times.farMillis()));
      node.near.forEach(host -> silence.put(host, times.nearMillis()));
      // Immutable, so that no round copies it.
      node.silenceByHost = Map.copyOf(silence);
    }
  }

  private void round(long now) {
    for (Node node : nodes.values()) {
      if (!node.isDead) {
        node.known.tick(now);
        node.known.replace(now, node.silenceByHost);
        send(now, node);
      }
    }
  }

  private void send(long now, Node node) {
    Set<String> silent = node.known.silent(now);
    ReportSchedule.Round round = node.schedule.next(node.near, node.far, silent);
    for (String host : round.reportTo()) {
      Node receiver = nodes.get(host);
      if (arrives(node, receiver)) {
        receiver.known.heard(now, node.host);
        receiver.nearHeardAt.put(node.host, now);
      }
    }
    for (String host : round.digestTo()) {
      Node receiver = nodes.get(host);
      if (arrives(node, receiver)) {
        relay(digest(now, node, silent), receiver);
      }
    }
  }

  private Map<String, Long> digest(long now, Node node, Set<String> silent) {
    Map<String, Long> digest = new HashMap<>(node.nearHeardAt);
    digest.keySet().removeAll(silent);
    digest.put(node.host, now);
    return digest;
  }

  private void relay(Map<String, Long> digest, Node relay) {
    digest.forEach((host, at) -> relay.known.heard(at, host));
    for (String near : relay.near) {
      Node receiver = nodes.get(near);
      if (arrives(relay, receiver)) {
        digest.forEach((host, at) -> receiver.known.heard(at, host));
      }
    }
  }

  private boolean arrives(Node from, Node to) {
    from.sent++;
    boolean otherZone = !from.zone.equals(to.zone);
    return !to.isDead && !(otherZone && random.nextDouble() < loss);
  }

  @ParameterizedTest
  @CsvSource({"10, 3", "74, 3", "95, 7", "100, 7", "300, 7", "300, 3", "1000, 8"})
  void noHealthyNodeIsTakenForSilentAndMessagesStayBounded(int size, int zones) {
    loss = 0.05;
    build(size, zones);

    for (long now = 0; now < RUN_MILLIS; now += SilenceTimes.ROUND_MILLIS) {
      round(now);
      for (Node node : nodes.values()) {
        assertThat(node.known.silent(now)).isEmpty();
      }
    }

    long sent = nodes.values().stream().mapToLong(node -> node.sent).sum();
    double each = sent / (double) size / (RUN_MILLIS / 1_000.0);
    int nearEach = Math.min(ReportSchedule.MAX_NEAR_RECEIVERS, size / zones);
    assertThat(each).isLessThan(4 * nearEach + 3 * ReportSchedule.DELEGATES * zones + 4);
  }

  @ParameterizedTest
  @CsvSource({"10, 3", "95, 7", "300, 7", "1000, 8"})
  void nodesThatDieAreSilentToAllOthersWithinTheTimesOfTheirZone(int size, int zones) {
    build(size, zones);
    for (long now = 0; now < 5_000; now += SilenceTimes.ROUND_MILLIS) {
      round(now);
    }
    Set<String> dead = new HashSet<>();
    for (Node node : nodes.values()) {
      // A tenth, delegates and relays among them.
      if (Math.floorMod(node.host.hashCode(), 10) == 0) {
        node.isDead = true;
        dead.add(node.host);
      }
    }
    long end = 5_000 + SilenceTimes.of(size / zones + 1).farMillis() + 1_000;
    for (long now = 5_000; now < end; now += SilenceTimes.ROUND_MILLIS) {
      round(now);
    }

    for (Node node : nodes.values()) {
      if (!node.isDead) {
        assertThat(node.known.silent(end)).containsExactlyInAnyOrderElementsOf(dead);
      }
    }
  }
}
