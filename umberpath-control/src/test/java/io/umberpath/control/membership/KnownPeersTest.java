package io.umberpath.control.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.membership.KnownPeers.ListedPeer;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class KnownPeersTest {
  private static final Map<String, ListedPeer> LISTED =
      Map.of("self", in("z", 900), "a", in("z", 900), "b", in("z", 4_000));
  private final KnownPeers peers = new KnownPeers("self", 10_000, 600);

  private static ListedPeer in(String zone, long silentMillis) {
    return new ListedPeer(zone, silentMillis);
  }

  private void run(long from, long to, String... heard) {
    for (long now = from; now <= to; now += 250) {
      for (String each : heard) {
        peers.recordHeard(now, each);
      }
      peers.tick(now);
      peers.replaceListed(now, LISTED);
    }
  }

  @Test
  void eachPeerBecomesSilentAfterItsOwnTimeout() {
    run(0, 2_000);

    assertThat(peers.silentPeers(2_000)).containsExactly("a");
    assertThat(peers.silentPeers(4_500)).containsExactlyInAnyOrder("a", "b");
  }

  @Test
  void reportingPeersAreNotSilent() {
    run(0, 6_000, "a", "b");

    assertThat(peers.silentPeers(6_000)).isEmpty();
  }

  @Test
  void pauseOfThisNodeMakesNoPeerSilent() {
    run(0, 2_000, "a", "b");
    peers.tick(8_000);

    assertThat(peers.silentPeers(8_000)).isEmpty();
  }

  @Test
  void unlistedPeerIsKnownWhileItReports() {
    run(0, 500, "a", "unlisted");

    assertThat(peers.others()).containsExactlyInAnyOrder("a", "b", "unlisted");
    assertThat(peers.silentPeers(4_500)).doesNotContain("unlisted");
    assertThat(peers.silentPeers(4_501)).contains("unlisted");

    peers.replaceListed(10_501, LISTED);
    assertThat(peers.others()).containsExactlyInAnyOrder("a", "b");
  }

  @Test
  void delistedPeerIsKnownWhileItReports() {
    run(0, 500, "a", "b");
    peers.replaceListed(750, Map.of("b", in("z", 900)));
    assertThat(peers.others()).containsExactlyInAnyOrder("a", "b");

    peers.replaceListed(20_000, Map.of("b", in("z", 900)));
    assertThat(peers.others()).containsExactly("b");
  }

  /**
   * A node's entry expires some seconds after the node fails, which is no evidence that it is
   * alive.
   */
  @Test
  void failedPeerStaysSilentAfterItIsDelisted() {
    run(0, 2_000, "b");
    assertThat(peers.silentPeers(2_000)).containsExactly("a");

    peers.replaceListed(2_250, Map.of("self", in("z", 900), "b", in("z", 4_000)));

    assertThat(peers.silentPeers(2_250)).containsExactly("a");
  }

  /** No report is forwarded through a node that is silent, listed or not. */
  @Test
  void delistedPeerStillCountsAsSilent() {
    run(0, 2_000, "b");
    peers.replaceListed(2_250, Map.of("self", in("z", 900), "b", in("z", 4_000)));

    assertThat(peers.silentFor(Set.of("a", "b"), 2_250, 600)).containsExactly("a");
  }

  /**
   * Without the stated zone, each node of a fleet that is not listed yet would read the store in
   * addition to all others.
   */
  @Test
  void unlistedPeerIsInTheZoneThatItStates() {
    peers.recordHeard(0, "c");
    assertThat(peers.zoneOf("c")).isEmpty();

    peers.updateLocation("c", in("y", 900));
    assertThat(peers.zoneOf("c")).contains("y");
    assertThat(peers.silentPeers(901)).containsExactly("c");

    peers.replaceListed(0, Map.of("c", in("z", 4_000)));
    peers.updateLocation("c", in("y", 900));
    assertThat(peers.zoneOf("c")).contains("z");
  }

  /**
   * A node's entry may return before the node itself, which is no evidence that it is alive either.
   */
  @Test
  void relistedPeerIsSilentUntilItReports() {
    run(0, 2_000, "b");
    peers.replaceListed(2_250, Map.of("self", in("z", 900), "b", in("z", 4_000)));
    peers.replaceListed(2_500, LISTED);

    assertThat(peers.silentPeers(2_500)).containsExactly("a");

    peers.recordHeard(2_600, "a");
    assertThat(peers.silentPeers(2_600)).isEmpty();
  }

  /** A report that arrives after a pause, before the next tick, must not be dated in the future. */
  @Test
  void pauseOfThisNodeMovesNoReportIntoTheFuture() {
    run(0, 2_000, "a", "b");
    peers.recordHeard(22_000, "a");
    peers.tick(22_000);

    assertThat(peers.silentPeers(22_901)).containsExactly("a");
  }
}
