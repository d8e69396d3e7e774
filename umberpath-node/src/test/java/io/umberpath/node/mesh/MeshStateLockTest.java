package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.StateRequest;
import io.umberpath.control.store.StoreChanges;
import io.umberpath.control.store.StoreFacts;
import io.umberpath.control.store.StoreItem;
import io.umberpath.control.store.StorePosition;
import io.umberpath.control.store.StoreResponse;
import io.umberpath.control.store.StoreWatcher;
import io.umberpath.model.routing.RoutingConfiguration;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Parsing a large configuration takes long on a slow processor. No other operation of the state may
 * wait for it.
 */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class MeshStateLockTest {
  private static final StorePosition AT = new StorePosition(1, 5);
  private static final StoreItem CONFIGURATION = new StoreItem("configuration", "booking@7", 5);
  private static final StoreItem BACKEND = new StoreItem("a", "80", 4);

  private final CountDownLatch parseStarted = new CountDownLatch(1);
  private final CountDownLatch parseMayEnd = new CountDownLatch(1);
  private final CountDownLatch announced = new CountDownLatch(1);
  private final MeshState state =
      new MeshState(
          new BlockingDocuments(),
          new StoreWatcher("", StoreWatchTimings.PROMPT, () -> 0.5),
          new MeshEvents(() -> 0),
          () -> 0);

  @AfterEach
  void endParse() {
    parseMayEnd.countDown();
  }

  private final class BlockingDocuments extends FakeStoreItemParser {
    @Override
    public Either<String, RoutingConfiguration> parseConfiguration(StoreItem item) {
      if (!item.equals(CONFIGURATION)) {
        return super.parseConfiguration(item);
      }
      parseStarted.countDown();
      try {
        parseMayEnd.await();
      } catch (InterruptedException ended) {
        throw new IllegalStateException(ended);
      }
      return super.parseConfiguration(item);
    }
  }

  private CompletableFuture<Void> startAdoption() throws InterruptedException {
    StoreChanges changes =
        new StoreChanges(StorePosition.UNKNOWN, AT, List.of(CONFIGURATION, BACKEND), List.of());
    CompletableFuture<Void> adopted =
        CompletableFuture.runAsync(
            () -> state.adopt(new StateTransfer(changes, StoreFacts.NONE), "peer"));
    parseStarted.await();
    return adopted;
  }

  private void assertAppliedAfterParse(CompletableFuture<Void> adopted) {
    assertThat(state.view().version()).isEqualTo(-1);
    parseMayEnd.countDown();
    adopted.join();
    assertThat(state.view().version()).isEqualTo(7);
    assertThat(state.view().position()).isEqualTo(AT);
  }

  /** Otherwise each node on the path of a change would add its parse time. */
  @Test
  void adoptedConfigurationIsServedToPeersWhileItIsParsed() throws Exception {
    state.onAdopted(announced::countDown);
    CompletableFuture<Void> adopted = startAdoption();
    announced.await();

    TransferRequest request = new TransferRequest(StateRequest.WHOLE, -1, false);
    assertThat(state.transferFor(request).changes().items())
        .containsExactlyInAnyOrder(CONFIGURATION, BACKEND);
    assertThat(state.view().heldPosition()).isEqualTo(AT);
    assertAppliedAfterParse(adopted);
  }

  /** The same for a configuration from the store. */
  @Test
  void storeConfigurationIsServedToPeersWhileItIsParsed() throws Exception {
    StoreResponse.Page page = new StoreResponse.Page(List.of(CONFIGURATION), false, AT);
    assertThat(state.handleResponse(0, page)).isTrue();

    TransferRequest request = new TransferRequest(StateRequest.WHOLE, -1, false);
    assertThat(state.transferFor(request).changes().items()).containsExactly(CONFIGURATION);
    CompletableFuture<Void> refreshed = CompletableFuture.runAsync(() -> state.refresh("store"));
    parseStarted.await();
    assertAppliedAfterParse(refreshed);
  }

  /** The timer enforces deadlines and sends reports. */
  @Test
  void timerIsNotBlockedWhileAConfigurationIsParsed() throws Exception {
    CompletableFuture<Void> adopted = startAdoption();

    state.applyIfDue();
    assertAppliedAfterParse(adopted);
  }

  /** It already holds what the others have, so that asking them would be useless. */
  @Test
  void nodeIsNotBehindPeersWhoseConfigurationItParses() throws Exception {
    CompletableFuture<Void> adopted = startAdoption();

    assertThat(state.view().isBehind(7, AT)).isFalse();
    assertThat(state.view().isBehind(8, new StorePosition(1, 6))).isTrue();
    assertAppliedAfterParse(adopted);
  }

  /** Otherwise a starting node would use the older copy alone. */
  @Test
  void newerConfigurationIsServedWithAnOlderCopyThatIsParsed() throws Exception {
    StoreItem newer = new StoreItem("configuration", "booking@9", 8);
    adopt(new StorePosition(0, 8), newer, BACKEND);
    CompletableFuture<Void> adopted = startAdoption();

    TransferRequest request = new TransferRequest(StateRequest.WHOLE, -1, false);
    assertThat(state.transferFor(request).facts().configuration()).contains(newer);
    parseMayEnd.countDown();
    adopted.join();
    assertThat(state.view().version()).isEqualTo(9);
  }

  /** The copy replaces the draining entry before that one was applied. */
  @Test
  void departureNotYetAppliedSurvivesAnOlderCopy() throws Exception {
    StoreItem ready = new StoreItem("a", "80@1000", 4);
    adopt(new StorePosition(1, 4), ready);
    StoreItem leaving = new StoreItem("a", "80@1000@booking@DRAINING", 5);
    CompletableFuture<Void> adopted =
        CompletableFuture.runAsync(() -> adopt(AT, CONFIGURATION, leaving));
    parseStarted.await();
    Thread copy = new Thread(() -> adopt(new StorePosition(2, 4), ready));
    copy.start();
    while (copy.getState() != Thread.State.BLOCKED && copy.isAlive()) {
      Thread.sleep(1);
    }
    parseMayEnd.countDown();
    adopted.join();
    copy.join();

    assertThat(state.view().backends().readyBackends("booking")).isEmpty();
  }

  private void adopt(StorePosition at, StoreItem... items) {
    StoreChanges changes = new StoreChanges(StorePosition.UNKNOWN, at, List.of(items), List.of());
    state.adopt(new StateTransfer(changes, StoreFacts.NONE), "peer");
  }
}
