package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.umberpath.control.store.StateRequest;
import io.umberpath.control.store.StoreChanges;
import io.umberpath.control.store.StoreEvent;
import io.umberpath.control.store.StoreFacts;
import io.umberpath.control.store.StoreItem;
import io.umberpath.control.store.StorePosition;
import io.umberpath.control.store.StoreRequest;
import io.umberpath.control.store.StoreResponse;
import io.umberpath.control.store.StoreWatcher;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.RoutingConfiguration;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class MeshStateTest {
  private final AtomicLong now = new AtomicLong();
  private final MeshState state =
      new MeshState(
          new FakeStoreItemParser(),
          new StoreWatcher("", StoreWatchTimings.PROMPT, () -> 0.5),
          new MeshEvents(() -> 0),
          now::get);

  private static StateTransfer whole(long at, List<StoreItem> items) {
    return whole(new StorePosition(StorePosition.NO_ERA, at), items);
  }

  private static StateTransfer whole(StorePosition at, List<StoreItem> items) {
    return new StateTransfer(
        new StoreChanges(StorePosition.UNKNOWN, at, items, List.of()), StoreFacts.NONE);
  }

  private List<String> ready() {
    return state.view().backends().readyBackends("booking").stream().map(BackendEntry::id).toList();
  }

  /** The store lists a terminated backend until its lease expires. */
  @Test
  void onlyTheLaterOfTwoStartsAtOneAddressIsListed() {
    state.adopt(
        whole(4, List.of(new StoreItem("a", "80", 3), new StoreItem("b", "81", 4))), "peer");
    assertThat(ready()).containsExactly("a", "b");

    List<StoreItem> restarted =
        List.of(
            new StoreItem("a", "80", 3), new StoreItem("b", "81", 4), new StoreItem("c", "80", 7));
    state.adopt(whole(7, restarted), "peer");

    assertThat(ready()).containsExactly("b", "c");
    assertThat(state.view().backends().byId("a")).isEmpty();
  }

  @Test
  void orderOfItemsDoesNotMatter() {
    state.adopt(
        whole(7, List.of(new StoreItem("c", "80", 7), new StoreItem("a", "80", 3))), "peer");

    assertThat(ready()).containsExactly("c");
  }

  /** The clock of a backend's machine may have been set back: the store's order decides. */
  @Test
  void lastWrittenOfTwoStartsUnderOneIdIsListedWhateverItsStartTime() {
    state.adopt(whole(3, List.of(new StoreItem("a", "80@9000", 3))), "peer");
    assertThat(state.view().backends().byId("a").get().startTimeMillis()).isEqualTo(9_000);

    state.adopt(whole(5, List.of(new StoreItem("a", "80@7000", 5))), "peer");

    assertThat(state.view().backends().byId("a").get().startTimeMillis()).isEqualTo(7_000);
  }

  @Test
  void invalidEntryIsSkippedAndTheOthersAreUsed() {
    state.adopt(whole(5, List.of(new StoreItem("a", "", 5), new StoreItem("b", "81", 4))), "peer");

    assertThat(ready()).containsExactly("b");
  }

  /** An entry of another writer may name the address of a running backend. */
  @Test
  void entryOfAnUnknownServiceReplacesNoBackend() {
    List<StoreItem> items =
        List.of(
            new StoreItem("configuration", "booking", 2),
            new StoreItem("a", "80", 3),
            new StoreItem("b", "80@0@unheard-of", 4));

    state.adopt(whole(4, items), "peer");

    assertThat(ready()).containsExactly("a");
  }

  @Test
  void backendsOfAnEvacuatedZoneAreNotReadyUntilTheEvacuationEnds() {
    StoreItem backend = new StoreItem("a", "80", 3);
    state.adopt(whole(4, List.of(backend, new StoreItem("evacuate/z", "{}", 4))), "peer");
    assertThat(ready()).isEmpty();
    assertThat(state.view().backends().byId("a")).isPresent();

    state.adopt(whole(5, List.of(backend)), "peer");
    assertThat(ready()).containsExactly("a");
  }

  @Test
  void directoryIsKeptWhileNoBackendOrEvacuationChanges() {
    StoreItem backend = new StoreItem("a", "80", 3);
    state.adopt(whole(4, List.of(backend)), "peer");
    BackendDirectory before = state.view().backends();

    // An earlier start at the same address, which the directory does not list.
    state.adopt(whole(5, List.of(backend, new StoreItem("old", "80", 2))), "peer");
    assertThat(state.view().position().revision()).isEqualTo(5);
    assertThat(state.view().backends()).isSameAs(before);

    // Rewritten with the same value.
    state.adopt(whole(6, List.of(new StoreItem("a", "80", 6))), "peer");
    assertThat(state.view().backends()).isNotSameAs(before);
  }

  /** Fails to parse a configuration, as for lack of memory, a number of times. */
  private static final class FailingParser extends FakeStoreItemParser {
    private int failures;

    FailingParser(int failures) {
      this.failures = failures;
    }

    @Override
    public Either<String, RoutingConfiguration> parseConfiguration(StoreItem item) {
      if (failures-- > 0) {
        throw new OutOfMemoryError("on purpose");
      }
      return super.parseConfiguration(item);
    }
  }

  /** Nothing but one log line told that a node kept an older configuration in force. */
  @Test
  void refusedConfigurationIsCounted() {
    MeshEvents events = new MeshEvents(() -> 0);
    FakeStoreItemParser refusing =
        new FakeStoreItemParser() {
          @Override
          public Either<String, RoutingConfiguration> parseConfiguration(StoreItem item) {
            return Either.left("limits.maxBodyBytes = \"none\"");
          }
        };
    MeshState refusingState =
        new MeshState(
            refusing, new StoreWatcher("", StoreWatchTimings.PROMPT, () -> 0.5), events, now::get);

    refusingState.adopt(whole(4, List.of(new StoreItem("configuration", "booking", 2))), "peer");

    assertThat(events.refusedConfigurationCount()).isEqualTo(1);
    assertThat(refusingState.view().isComplete()).isFalse();
  }

  private MeshState stateWithFailingParser(int failures) {
    return new MeshState(
        new FailingParser(failures),
        new StoreWatcher("", StoreWatchTimings.PROMPT, () -> 0.5),
        new MeshEvents(() -> 0),
        now::get);
  }

  private static void adoptWithError(MeshState target, StateTransfer transfer) {
    assertThatThrownBy(() -> target.adopt(transfer, "peer")).isInstanceOf(OutOfMemoryError.class);
  }

  @Test
  void configurationThatCouldNotBeParsedAtFirstIsInForceAfterARetry() {
    MeshState failing = stateWithFailingParser(1);
    adoptWithError(failing, whole(5, List.of(new StoreItem("configuration", "booking@7", 5))));
    assertThat(failing.view().version()).isEqualTo(-1);
    assertThat(failing.isRefreshOverdue()).isFalse();

    now.addAndGet(1_000);
    assertThat(failing.pendingMillis()).isEqualTo(1_000);
    assertThat(failing.isRefreshOverdue()).isTrue();
    failing.refresh("retry");

    assertThat(failing.view().version()).isEqualTo(7);
    assertThat(failing.pendingMillis()).isZero();
    assertThat(failing.isRefreshOverdue()).isFalse();
  }

  /** The item counted as applied although it never was, and was not parsed again. */
  @Test
  void configurationThatCouldNotBeParsedBeforeANewEraIsInForceAfterARetry() {
    MeshState failing = stateWithFailingParser(2);
    List<StoreItem> items = List.of(new StoreItem("configuration", "booking@7", 5));
    adoptWithError(failing, whole(new StorePosition(1, 5), items));
    adoptWithError(failing, whole(new StorePosition(2, 5), items));

    now.addAndGet(1_000);
    failing.refresh("retry");

    assertThat(failing.view().version()).isEqualTo(7);
  }

  @Test
  void entryThatBreaksTheParserDoesNotAffectOthers() {
    MeshState robust =
        new MeshState(
            new FakeStoreItemParser() {
              @Override
              public Either<String, BackendEntry> parseBackend(StoreItem item) {
                if (item.key().equals("foreign")) {
                  throw new StackOverflowError("on purpose");
                }
                return super.parseBackend(item);
              }
            },
            new StoreWatcher("", StoreWatchTimings.PROMPT, () -> 0.5),
            new MeshEvents(() -> 0),
            now::get);

    robust.adopt(
        whole(
            5,
            List.of(
                new StoreItem("configuration", "booking@7", 5),
                new StoreItem("foreign", "x", 3),
                new StoreItem("a", "80", 4))),
        "peer");

    assertThat(robust.view().version()).isEqualTo(7);
    assertThat(robust.view().backends().byId("a")).isPresent();
  }

  private static StoreItem ofNoUse(String key, long revision) {
    return new StoreItem(key, "", revision);
  }

  private void receive(StoreResponse response) {
    state.handleResponse(0, response);
    state.refresh("store");
  }

  private static StoreResponse page(long at, StoreItem... items) {
    return new StoreResponse.Page(
        List.of(items), false, new StorePosition(StorePosition.NO_ERA, at));
  }

  private static StoreResponse events(long at, StoreItem... items) {
    List<StoreEvent> events = new ArrayList<>();
    for (StoreItem item : items) {
      events.add(new StoreEvent.Put(item));
    }
    return new StoreResponse.Events(events, new StorePosition(StorePosition.NO_ERA, at));
  }

  private static TransferRequest requestSince(StorePosition held) {
    return new TransferRequest(new StateRequest(held, StateRequest.NO_ITEM), -1, false);
  }

  /** Entries of another writer were held, and sent to other nodes before the configuration. */
  @Test
  void itemOfNoUseIsNeitherHeldNorSentToOtherNodes() {
    StoreItem backend = new StoreItem("a", "80", 3);
    receive(page(5, backend, ofNoUse("foreign-1", 4), ofNoUse("foreign-2", 5)));
    receive(events(7, ofNoUse("foreign-3", 6), ofNoUse("foreign-1", 7)));

    assertThat(state.itemCount()).isEqualTo(1);
    StateTransfer transfer = state.transferFor(requestSince(StorePosition.UNKNOWN));
    assertThat(transfer.changes().items()).containsExactly(backend);
    assertThat(ready()).containsExactly("a");
    assertThat(state.refusedItemCount()).isEqualTo(4);
  }

  @Test
  void backendWhoseEntryIsOverwrittenByOneOfNoUseIsGoneAtOtherNodesToo() {
    StoreItem other = new StoreItem("b", "81", 2);
    receive(page(3, other, new StoreItem("a", "80", 3)));
    MeshState peer =
        new MeshState(
            new FakeStoreItemParser(),
            new StoreWatcher("", StoreWatchTimings.PROMPT, () -> 0.5),
            new MeshEvents(() -> 0),
            now::get);
    peer.adopt(state.transferFor(requestSince(StorePosition.UNKNOWN)), "source");
    assertThat(peer.itemCount()).isEqualTo(2);

    receive(events(4, ofNoUse("a", 4)));
    peer.adopt(state.transferFor(requestSince(peer.view().position())), "source");

    assertThat(ready()).containsExactly("b");
    assertThat(peer.view().backends().byId("a")).isEmpty();
    assertThat(peer.view().backends().byId("b")).isPresent();
  }

  @Test
  void readContinuesAfterAPageOfItemsOfNoUse() {
    state.handleResponse(
        0,
        new StoreResponse.Page(
            List.of(ofNoUse("foreign-1", 1), ofNoUse("foreign-2", 2)),
            true,
            new StorePosition(StorePosition.NO_ERA, 3)));

    assertThat(state.watcher().nextStep(0))
        .isEqualTo(new StoreWatcher.Step.Call(new StoreRequest.Read("", Optional.of("foreign-2"))));
  }

  private void readAgain(StoreResponse page) {
    state.handleResponse(0, new StoreResponse.HistoryGone(StorePosition.NO_ERA));
    receive(page);
  }

  /** A node that started from its peers got no configuration, and was never ready. */
  @Test
  void configurationInForceIsSentToOtherNodesWhenTheStoreNoLongerHasIt() {
    StoreItem configuration = new StoreItem("configuration", "booking@7", 3);
    receive(page(3, configuration));

    readAgain(page(9, new StoreItem("a", "80", 4)));

    assertThat(state.view().version()).isEqualTo(7);
    StateTransfer transfer = state.transferFor(requestSince(StorePosition.UNKNOWN));
    assertThat(transfer.facts().configuration()).contains(configuration);
  }

  @Test
  void unusableConfigurationLeavesThePreviousOneInForceAndHeld() {
    StoreItem configuration = new StoreItem("configuration", "booking@7", 3);
    receive(page(3, configuration));

    receive(
        new StoreResponse.Events(
            List.of(new StoreEvent.Unusable("configuration", 4, "too large")),
            new StorePosition(StorePosition.NO_ERA, 4)));

    assertThat(state.view().version()).isEqualTo(7);
    assertThat(state.view().position().revision()).isEqualTo(4);
    StateTransfer transfer = state.transferFor(requestSince(StorePosition.UNKNOWN));
    assertThat(transfer.changes().items()).containsExactly(configuration);
  }
}
