package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.StoreChanges;
import io.umberpath.control.store.StoreFacts;
import io.umberpath.control.store.StoreItem;
import io.umberpath.control.store.StorePosition;
import io.umberpath.control.store.StoreWatcher;
import io.umberpath.model.PeerAddress;
import io.umberpath.traffic.ColdStartLimiter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;

final class StatePullerTest {
  private static final int SLOW_MILLIS = 800;
  private static final long AWAIT_MILLIS = 20_000;
  private static final LongSupplier CLOCK = () -> System.nanoTime() / 1_000_000;
  private static final StateTransfer CHANGES = changesTo(4);

  private static MeshSettings settings(int exchangePort) {
    PeerAddress nowhere = new PeerAddress("127.0.0.1", 1);
    return new MeshSettings(
        "node",
        "z",
        "booking",
        nowhere,
        nowhere,
        nowhere,
        nowhere,
        new PeerAddress("127.0.0.1", exchangePort),
        Optional.empty(),
        List.of(),
        false,
        0,
        new MeshSettings.Retry(10_000, 0.2, 64),
        ColdStartLimiter.Bounds.RATE_ALONE,
        2_000,
        6_000,
        null);
  }

  /** Responds to each transfer with a delay, like a saturated link. */
  private static void serveSlowly(ServerSocket server) {
    while (!server.isClosed()) {
      try (Socket peer = server.accept()) {
        StateChangesCodec.readRequest(peer.getInputStream());
        Thread.sleep(SLOW_MILLIS);
        peer.getOutputStream().write(StateChangesCodec.encode(CHANGES));
      } catch (IOException closedOrGone) {
        // The puller aborted the transfer, or the test has ended.
        continue;
      } catch (InterruptedException ended) {
        return;
      }
    }
  }

  /**
   * On a saturated link each step of a transfer took more than half a second. Transfers were
   * aborted by then and restarted, so that no change ever arrived.
   */
  @Test
  void transferOverASaturatedLinkCompletes() throws Exception {
    MeshEvents events = new MeshEvents(CLOCK);
    MeshState state =
        new MeshState(
            new FakeStoreItemParser(),
            new StoreWatcher("", StoreWatchTimings.PROMPT, () -> 0.5),
            events,
            CLOCK);
    try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
        StatePuller puller =
            new StatePuller(settings(server.getLocalPort()), state, () -> false, events, CLOCK)) {
      Thread thread = new Thread(() -> serveSlowly(server));
      thread.setDaemon(true);
      thread.start();
      puller.start();
      puller.onNewerState("127.0.0.1", true, -1, position(4));

      long end = CLOCK.getAsLong() + AWAIT_MILLIS;
      while (state.view().position().revision() < 4 && CLOCK.getAsLong() < end) {
        Thread.sleep(10);
      }

      assertThat(state.view().position().revision()).isEqualTo(4);
    }
  }

  /** A node that could not pull its peers' newer state went on reporting itself as ready. */
  @Test
  void nodeIsStuckWhileItIsBehindAReachablePeerAndDoesNotAdvance() {
    AtomicLong now = new AtomicLong();
    MeshEvents events = new MeshEvents(now::get);
    MeshState state =
        new MeshState(
            new FakeStoreItemParser(),
            new StoreWatcher("", StoreWatchTimings.PROMPT, () -> 0.5),
            events,
            now::get);
    try (StatePuller puller = new StatePuller(settings(1), state, () -> false, events, now::get)) {
      assertThat(puller.stuckMillis(host -> true)).isZero();

      puller.onNewerState("127.0.0.1", true, -1, position(9));
      now.addAndGet(10_000);
      assertThat(puller.stuckMillis(host -> true)).isEqualTo(10_000);
      assertThat(puller.stuckMillis(host -> false)).isZero();

      state.adopt(changesTo(4), "peer");
      now.addAndGet(700);
      assertThat(puller.stuckMillis(host -> true)).isEqualTo(700);

      state.adopt(changesTo(9), "peer");
      now.addAndGet(700);
      assertThat(puller.stuckMillis(host -> true)).isZero();
    }
  }

  private static StorePosition position(long revision) {
    return new StorePosition(StorePosition.NO_ERA, revision);
  }

  private static StateTransfer changesTo(long revision) {
    List<StoreItem> items = List.of(new StoreItem("a", "80", 3));
    return new StateTransfer(
        new StoreChanges(StorePosition.UNKNOWN, position(revision), items, List.of()),
        StoreFacts.NONE);
  }

  private static void awaitRevision(MeshState state, long revision) throws InterruptedException {
    long end = CLOCK.getAsLong() + AWAIT_MILLIS;
    while (state.view().position().revision() < revision && CLOCK.getAsLong() < end) {
      Thread.sleep(10);
    }
    assertThat(state.view().position().revision()).isEqualTo(revision);
  }

  /**
   * During changes in quick succession a node is never up to date with all others. It counted as
   * behind since the first change, and pulled all of them from other zones although its own zone
   * delivered them.
   */
  @Test
  void waitForOtherZonesRestartsAfterEachTransferFromTheOwnZone() throws Exception {
    AtomicLong now = new AtomicLong();
    MeshEvents events = new MeshEvents(CLOCK);
    MeshState state =
        new MeshState(
            new FakeStoreItemParser(),
            new StoreWatcher("", StoreWatchTimings.PROMPT, () -> 0.5),
            events,
            CLOCK);
    StateServer near =
        StateServer.open(
            new PeerAddress("127.0.0.1", 0),
            request -> StateChangesCodec.encode(changesTo(4)),
            events,
            CLOCK);
    StateServer far =
        StateServer.open(
            new PeerAddress("127.0.0.2", near.port()),
            request -> StateChangesCodec.encode(changesTo(5)),
            events,
            CLOCK);
    try (near;
        far;
        StatePuller puller =
            new StatePuller(settings(near.port()), state, () -> false, events, now::get)) {
      puller.start();
      puller.onNewerState("127.0.0.2", false, -1, position(5));
      now.set(900);
      puller.onNewerState("127.0.0.1", true, -1, position(4));
      awaitRevision(state, 4);

      now.set(1_500);
      Thread.sleep(SLOW_MILLIS);
      assertThat(state.view().position().revision()).isEqualTo(4);

      now.set(10_000);
      awaitRevision(state, 5);
    }
  }

  /**
   * A reader announced a change and died. The nodes of its zone asked it a third time when they
   * should have asked another zone, and could start no further transfer until the first one timed
   * out: a change took 2.2 s instead of one.
   */
  @Test
  void unresponsiveSourceDoesNotDelayASourceOfAnotherZone() throws Exception {
    assertPullsAfterAnUnresponsiveSource(false, 2);
  }

  /** Only the node that advertised the newest version was asked, though it had been killed. */
  @Test
  void anotherSourceOfTheSameZoneIsAskedAfterAnUnresponsiveOne() throws Exception {
    assertPullsAfterAnUnresponsiveSource(true, 1);
  }

  /**
   * A node of the own zone advertises the newest version but does not respond; another node does.
   *
   * @param isOtherNear whether the other one is of the own zone too
   * @param unresponsiveTurns how often the unresponsive one is asked before it, each half a second
   */
  private static void assertPullsAfterAnUnresponsiveSource(
      boolean isOtherNear, int unresponsiveTurns) throws Exception {
    AtomicLong now = new AtomicLong();
    MeshEvents events = new MeshEvents(CLOCK);
    MeshState state =
        new MeshState(
            new FakeStoreItemParser(),
            new StoreWatcher("", StoreWatchTimings.PROMPT, () -> 0.5),
            events,
            CLOCK);
    AtomicInteger asked = new AtomicInteger();
    try (ServerSocket unresponsive = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
        StateServer other =
            StateServer.open(
                new PeerAddress("127.0.0.2", unresponsive.getLocalPort()),
                request -> StateChangesCodec.encode(changesTo(5)),
                events,
                CLOCK);
        StatePuller puller =
            new StatePuller(settings(other.port()), state, () -> false, events, now::get)) {
      Thread thread = new Thread(() -> acceptWithoutResponse(unresponsive, asked));
      thread.setDaemon(true);
      thread.start();
      puller.start();
      puller.onNewerState("127.0.0.2", isOtherNear, -1, position(5));
      puller.onNewerState("127.0.0.1", true, -1, position(6));
      for (int turn = 1; turn <= unresponsiveTurns; turn++) {
        awaitCount(asked, turn);
        now.addAndGet(500);
      }
      awaitRevision(state, 5);

      assertThat(asked).hasValue(unresponsiveTurns);
    }
  }

  private static void acceptWithoutResponse(ServerSocket server, AtomicInteger accepted) {
    List<Socket> peers = new ArrayList<>();
    while (!server.isClosed()) {
      try {
        peers.add(server.accept());
        accepted.incrementAndGet();
      } catch (IOException ended) {
        // The test is over.
        return;
      }
    }
  }

  private static void awaitCount(AtomicInteger counter, int count) throws InterruptedException {
    long end = CLOCK.getAsLong() + AWAIT_MILLIS;
    while (counter.get() < count && CLOCK.getAsLong() < end) {
      Thread.sleep(10);
    }
  }
}
