package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.StateRequest;
import io.umberpath.control.store.StoreAnswer;
import io.umberpath.control.store.StoreChanges;
import io.umberpath.control.store.StoreFacts;
import io.umberpath.control.store.StoreItem;
import io.umberpath.control.store.StorePosition;
import io.umberpath.control.store.StoreWatcher;
import io.umberpath.model.routing.RoutingConfiguration;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Reading a large configuration takes long where the processor is short. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class MeshStateLockTest {
  private static final StorePosition AT = new StorePosition(1, 5);
  private static final StoreItem CONFIGURATION = new StoreItem("configuration", "booking@7", 5);
  private static final StoreItem BACKEND = new StoreItem("a", "80", 4);

  private final CountDownLatch reading = new CountDownLatch(1);
  private final CountDownLatch mayEnd = new CountDownLatch(1);
  private final CountDownLatch announced = new CountDownLatch(1);
  private final MeshState state =
      new MeshState(
          new SlowDocuments(),
          new StoreWatcher("", WatchTimes.PROMPT, () -> 0.5),
          new MeshEvents(() -> 0),
          () -> 0);

  @AfterEach
  void endReading() {
    mayEnd.countDown();
  }

  private final class SlowDocuments extends PortDocuments {
    @Override
    public Either<String, RoutingConfiguration> configuration(StoreItem item) {
      if (!item.equals(CONFIGURATION)) {
        return super.configuration(item);
      }
      reading.countDown();
      try {
        mayEnd.await();
      } catch (InterruptedException ended) {
        throw new IllegalStateException(ended);
      }
      return super.configuration(item);
    }
  }

  private CompletableFuture<Void> adopts() throws InterruptedException {
    StoreChanges changes =
        new StoreChanges(StorePosition.NOTHING, AT, List.of(CONFIGURATION, BACKEND), List.of());
    CompletableFuture<Void> adopted =
        CompletableFuture.runAsync(
            () -> state.adopt(new StateTransfer(changes, StoreFacts.NONE), "peer"));
    reading.await();
    return adopted;
  }

  private void assertTaken(CompletableFuture<Void> adopted) {
    assertThat(state.view().version()).isEqualTo(-1);
    mayEnd.countDown();
    adopted.join();
    assertThat(state.view().version()).isEqualTo(7);
    assertThat(state.view().position()).isEqualTo(AT);
  }

  /** Each node on the way of a change would add the time that it takes to read it. */
  @Test
  void otherNodesAreGivenAConfigurationThatIsStillBeingRead() throws Exception {
    state.onAdopted(announced::countDown);
    CompletableFuture<Void> adopted = adopts();
    announced.await();

    TransferRequest request = new TransferRequest(StateRequest.WHOLE, -1, false);
    assertThat(state.transferFor(request).changes().items())
        .containsExactlyInAnyOrder(CONFIGURATION, BACKEND);
    assertThat(state.view().held()).isEqualTo(AT);
    assertTaken(adopted);
  }

  /** The same where the store has told of it. */
  @Test
  void otherNodesAreGivenWhatTheStoreToldWhileItIsBeingRead() throws Exception {
    StoreAnswer.Page page = new StoreAnswer.Page(List.of(CONFIGURATION), false, AT);
    assertThat(state.answered(0, page)).isTrue();

    TransferRequest request = new TransferRequest(StateRequest.WHOLE, -1, false);
    assertThat(state.transferFor(request).changes().items()).containsExactly(CONFIGURATION);
    CompletableFuture<Void> refreshed = CompletableFuture.runAsync(() -> state.refresh("store"));
    reading.await();
    assertTaken(refreshed);
  }

  /** The timer keeps deadlines and sends reports. */
  @Test
  void theTimerIsNotHeldUpWhileAConfigurationIsBeingRead() throws Exception {
    CompletableFuture<Void> adopted = adopts();

    state.settle();
    assertTaken(adopted);
  }

  /** It has all that the others hold, and would ask them in vain. */
  @Test
  void aNodeIsNotBehindThoseWhoseConfigurationItIsReading() throws Exception {
    CompletableFuture<Void> adopted = adopts();

    assertThat(state.view().isBehind(7, AT)).isFalse();
    assertThat(state.view().isBehind(8, new StorePosition(1, 6))).isTrue();
    assertTaken(adopted);
  }

  /** A node that starts would go by the copy alone. */
  @Test
  void aNewerConfigurationIsToldWithAnOlderCopyThatIsBeingRead() throws Exception {
    StoreItem newer = new StoreItem("configuration", "booking@9", 8);
    take(new StorePosition(0, 8), newer, BACKEND);
    CompletableFuture<Void> adopted = adopts();

    TransferRequest request = new TransferRequest(StateRequest.WHOLE, -1, false);
    assertThat(state.transferFor(request).facts().configuration()).contains(newer);
    mayEnd.countDown();
    adopted.join();
    assertThat(state.view().version()).isEqualTo(9);
  }

  /** Its entry is replaced by that of the copy before it was in force. */
  @Test
  void aDepartureThatIsNotInForceYetOutlastsAnOlderCopy() throws Exception {
    StoreItem ready = new StoreItem("a", "80@1000", 4);
    take(new StorePosition(1, 4), ready);
    StoreItem leaving = new StoreItem("a", "80@1000@booking@DRAINING", 5);
    CompletableFuture<Void> adopted =
        CompletableFuture.runAsync(() -> take(AT, CONFIGURATION, leaving));
    reading.await();
    Thread copy = new Thread(() -> take(new StorePosition(2, 4), ready));
    copy.start();
    while (copy.getState() != Thread.State.BLOCKED && copy.isAlive()) {
      Thread.sleep(1);
    }
    mayEnd.countDown();
    adopted.join();
    copy.join();

    assertThat(state.view().backends().ready("booking")).isEmpty();
  }

  private void take(StorePosition at, StoreItem... items) {
    StoreChanges changes = new StoreChanges(StorePosition.NOTHING, at, List.of(items), List.of());
    state.adopt(new StateTransfer(changes, StoreFacts.NONE), "peer");
  }
}
