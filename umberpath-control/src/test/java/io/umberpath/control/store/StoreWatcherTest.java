package io.umberpath.control.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.StoreWatcher.Adoption;
import io.umberpath.control.store.StoreWatcher.Step;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class StoreWatcherTest {
  private static final StoreWatcherSettings SETTINGS =
      new StoreWatcherSettings(4_000, 200, 100, 1_000);

  private final StoreWatcher watcher = new StoreWatcher("", SETTINGS, () -> 1);

  private static StoreItem item(String key, String value, long revision) {
    return new StoreItem(key, value, revision);
  }

  private static StorePosition position(long revision) {
    return new StorePosition(StorePosition.NO_ERA, revision);
  }

  private static StoreResponse.Page page(boolean more, long at, StoreItem... items) {
    return new StoreResponse.Page(List.of(items), more, position(at));
  }

  private static StoreResponse.Events events(long at, StoreEvent... events) {
    return new StoreResponse.Events(List.of(events), position(at));
  }

  private static StoreChanges fullState(long at, StoreItem... items) {
    return new StoreChanges(StorePosition.UNKNOWN, position(at), List.of(items), List.of());
  }

  private static StateRequest since(long revision) {
    return new StateRequest(position(revision), StateRequest.NO_ITEM);
  }

  /** An item long enough for patches; its versions differ only at the end. */
  private static StoreItem large(int end, long revision) {
    return item("large", "{some text}".repeat(1_000) + "{" + end + "}", revision);
  }

  private StoreRequest call(long now) {
    return ((Step.Call) watcher.nextStep(now)).call();
  }

  @Test
  void readsAllPagesThenWatchesFromTheFirstPagePosition() {
    assertThat(call(0)).isEqualTo(new StoreRequest.Read("", Optional.empty()));
    watcher.onResponse(0, page(true, 10, item("a", "1", 3)));
    assertThat(watcher.items()).isEmpty();
    assertThat(call(0)).isEqualTo(new StoreRequest.Read("", Optional.of("a")));

    assertThat(watcher.onResponse(0, page(false, 12, item("b", "1", 12)))).isTrue();

    assertThat(watcher.items()).hasSize(2);
    assertThat(call(0)).isEqualTo(new StoreRequest.Watch("", 10, 6_000));
  }

  @Test
  void watchEventsOlderThanTheReadAreIgnored() {
    watcher.onResponse(0, page(true, 10, item("a", "1", 3)));
    watcher.onResponse(0, page(false, 14, item("b", "new", 14)));

    boolean changed =
        watcher.onResponse(
            0,
            events(
                14,
                new StoreEvent.Put(item("b", "old", 11)),
                new StoreEvent.Delete("b", 12),
                new StoreEvent.Put(item("b", "new", 14))));

    assertThat(changed).isFalse();
    assertThat(watcher.items()).contains(item("b", "new", 14));
  }

  @Test
  void eventsUpdateItems() {
    watcher.onResponse(0, page(false, 10, item("a", "1", 3), item("b", "1", 4)));

    watcher.onResponse(
        0, events(12, new StoreEvent.Put(item("a", "2", 11)), new StoreEvent.Delete("b", 12)));

    assertThat(watcher.items()).containsExactly(item("a", "2", 11));
    assertThat(watcher.position()).isEqualTo(position(12));
  }

  /** When many backends start at once, each change should be received quickly. */
  @Test
  void pollsQuicklyAFewTimesWhenChangesBegin() {
    StoreWatcher quick =
        new StoreWatcher(
            "", new StoreWatcherSettings(800, 0.5, 600, 60, 2, 2_000, 150, 1_000), () -> 0.5);
    quick.onResponse(0, page(false, 10));
    StoreResponse change = events(11, new StoreEvent.Put(item("a", "1", 11)));

    quick.onResponse(100, change);
    assertThat(quick.nextStep(100)).isEqualTo(new Step.Wait(160));
    quick.onResponse(200, change);
    assertThat(quick.nextStep(200)).isEqualTo(new Step.Wait(260));
    quick.onResponse(300, change);
    assertThat(quick.nextStep(300)).isEqualTo(new Step.Wait(900));

    quick.onResponse(2_100, change);
    assertThat(quick.nextStep(2_100)).isEqualTo(new Step.Wait(2_160));
    quick.onResponse(2_300, change);
    assertThat(quick.nextStep(2_300)).isEqualTo(new Step.Wait(2_900));
  }

  @Test
  void pausesAfterEventsButNotAfterAnEmptyWatch() {
    watcher.onResponse(0, page(false, 10));
    watcher.onResponse(1_000, events(10));
    assertThat(watcher.nextStep(1_000)).isInstanceOf(Step.Call.class);

    watcher.onResponse(1_000, events(11, new StoreEvent.Put(item("a", "1", 11))));

    assertThat(watcher.nextStep(1_000)).isEqualTo(new Step.Wait(1_200));
  }

  @Test
  void rereadsWhenHistoryHasExpiredAndKeepsItsItemsMeanwhile() {
    watcher.onResponse(0, page(false, 10, item("a", "1", 3)));

    watcher.onResponse(0, new StoreResponse.HistoryGone(StorePosition.NO_ERA));

    assertThat(watcher.items()).hasSize(1);
    assertThat(call(0)).isInstanceOf(StoreRequest.Read.class);
    assertThat(watcher.onResponse(0, page(false, 30, item("c", "1", 25)))).isTrue();
    assertThat(watcher.items()).containsExactly(item("c", "1", 25));
  }

  @Test
  void backsOffWhileTheStoreFails() {
    watcher.onResponse(0, new StoreResponse.Unavailable("reset"));
    assertThat(watcher.nextStep(0)).isEqualTo(new Step.Wait(100));
    watcher.onResponse(100, new StoreResponse.Throttled());
    assertThat(watcher.nextStep(100)).isEqualTo(new Step.Wait(300));
    for (int index = 0; index < 10; index++) {
      watcher.onResponse(1_000, new StoreResponse.Unavailable("reset"));
    }
    assertThat(watcher.nextStep(1_000)).isEqualTo(new Step.Wait(2_000));

    watcher.onResponse(2_000, page(false, 10));
    assertThat(watcher.nextStep(2_000)).isInstanceOf(Step.Call.class);
  }

  @Test
  void adoptsANewerStateFromAnotherNode() {
    watcher.onResponse(0, page(false, 10, item("a", "1", 3)));

    assertThat(watcher.adopt(fullState(20, item("a", "2", 15)))).isEqualTo(Adoption.CHANGED);
    assertThat(watcher.adopt(fullState(19, item("a", "1", 3)))).isEqualTo(Adoption.UNCHANGED);

    assertThat(watcher.items()).containsExactly(item("a", "2", 15));
    assertThat(call(0)).isEqualTo(new StoreRequest.Watch("", 20, 6_000));
  }

  @Test
  void lateWatchResponseDoesNotRestoreRemovedItems() {
    watcher.onResponse(0, page(false, 10, item("a", "1", 3)));
    watcher.adopt(fullState(20));

    boolean changed = watcher.onResponse(0, events(15, new StoreEvent.Put(item("a", "2", 14))));

    assertThat(changed).isFalse();
    assertThat(watcher.items()).isEmpty();
    assertThat(watcher.position()).isEqualTo(position(20));
  }

  @Test
  void olderReadDoesNotReplaceANewerState() {
    watcher.onResponse(0, page(true, 10, item("a", "1", 3)));
    watcher.adopt(fullState(20, item("a", "2", 15)));

    assertThat(watcher.onResponse(0, page(false, 11))).isFalse();

    assertThat(watcher.items()).containsExactly(item("a", "2", 15));
  }

  /** A node that is behind adopts the changes of another one and then holds the same state. */
  @Test
  void changesSinceARevisionSynchronizeAnotherWatcher() {
    StoreWatcher behind = new StoreWatcher("", SETTINGS, () -> 1);
    watcher.onResponse(0, page(false, 10, item("a", "1", 3), item("b", "1", 4), item("c", "1", 5)));
    behind.adopt(watcher.changesSince(since(-1)));
    watcher.onResponse(
        0, events(14, new StoreEvent.Delete("b", 12), new StoreEvent.Put(item("a", "2", 14))));

    StoreChanges changes = watcher.changesSince(since(10));

    assertThat(changes.isWhole()).isFalse();
    assertThat(changes.items()).containsExactly(item("a", "2", 14));
    assertThat(changes.removed()).containsExactly(new StoreEvent.Delete("b", 12));
    assertThat(behind.adopt(changes)).isEqualTo(Adoption.CHANGED);
    assertThat(behind.position()).isEqualTo(position(14));
    assertThat(behind.items()).containsExactlyInAnyOrderElementsOf(watcher.items());
    assertThat(behind.changesSince(since(10))).isEqualTo(changes);
  }

  /**
   * Removals before the last full read are unknown, so a node further behind needs the full state.
   */
  @Test
  void nodeBehindTheLastFullReadGetsTheFullState() {
    watcher.onResponse(0, page(false, 10, item("a", "1", 3)));

    assertThat(watcher.changesSince(since(9))).isEqualTo(fullState(10, item("a", "1", 3)));
    assertThat(watcher.changesSince(since(10)).isWhole()).isFalse();
  }

  @Test
  void rememberedRemovalsAreBounded() {
    watcher.onResponse(0, page(false, 10));
    for (int revision = 11; revision < 2_011; revision++) {
      watcher.onResponse(0, events(revision, new StoreEvent.Delete("key-" + revision, revision)));
    }

    assertThat(watcher.changesSince(since(10)).isWhole()).isTrue();
    assertThat(watcher.changesSince(since(1_500)).removed()).hasSize(510);
  }

  @Test
  void changesWithAGapAreNotAdopted() {
    watcher.onResponse(0, page(false, 10, item("a", "1", 3)));

    assertThat(watcher.adopt(new StoreChanges(position(12), position(14), List.of(), List.of())))
        .isEqualTo(Adoption.UNCHANGED);
    assertThat(watcher.position()).isEqualTo(position(10));
  }

  private StoreWatcher watcherOf(StoreItem item, long at) {
    StoreWatcher other = new StoreWatcher("", SETTINGS, () -> 1);
    other.onResponse(0, page(false, at, item));
    return other;
  }

  @Test
  void largeItemIsSentAsPatchesThatCanBeForwarded() {
    StoreWatcher second = watcherOf(large(1, 5), 5);
    StoreWatcher third = watcherOf(large(1, 5), 5);
    watcher.onResponse(0, page(false, 5, large(1, 5)));
    watcher.onResponse(0, events(8, new StoreEvent.Put(large(2, 8))));
    watcher.onResponse(1_000, events(9, new StoreEvent.Put(large(3, 9))));

    StoreChanges changes = watcher.changesSince(second.stateRequest());
    assertThat(changes.items()).isEmpty();
    assertThat(changes.patches()).hasSize(2);
    assertThat(second.adopt(changes)).isEqualTo(Adoption.CHANGED);
    assertThat(second.items()).containsExactly(large(3, 9));

    StoreChanges forwarded = second.changesSince(third.stateRequest());
    assertThat(forwarded.patches()).isEqualTo(changes.patches());
    assertThat(third.adopt(forwarded)).isEqualTo(Adoption.CHANGED);
    assertThat(third.items()).containsExactly(large(3, 9));
  }

  @Test
  void nodeWithoutAMatchingPatchBaseGetsTheFullItem() {
    watcher.onResponse(0, page(false, 5, large(1, 5)));
    watcher.onResponse(0, events(9, new StoreEvent.Put(large(3, 9))));
    StoreWatcher between = watcherOf(large(2, 8), 8);

    StoreChanges changes = watcher.changesSince(between.stateRequest());

    assertThat(changes.patches()).isEmpty();
    assertThat(between.adopt(changes)).isEqualTo(Adoption.CHANGED);
    assertThat(between.items()).containsExactly(large(3, 9));
  }

  /** No partial state: the other changes that came with a mismatched patch are rejected too. */
  @Test
  void changesWithAMismatchedPatchAreRejectedEntirely() {
    watcher.onResponse(0, page(false, 5, large(1, 5)));
    watcher.onResponse(
        0, events(9, new StoreEvent.Put(large(3, 8)), new StoreEvent.Put(item("a", "1", 9))));
    StoreItem otherText = item("large", large(1, 5).value().replaceFirst("some", "same"), 5);
    StoreWatcher other = watcherOf(otherText, 5);

    StoreChanges changes = watcher.changesSince(other.stateRequest());

    assertThat(other.adopt(changes)).isEqualTo(Adoption.PATCH_MISMATCH);
    assertThat(other.items()).containsExactly(otherText);
    assertThat(other.position()).isEqualTo(position(5));
    assertThat(other.adopt(watcher.changesSince(StateRequest.WHOLE))).isEqualTo(Adoption.CHANGED);
    assertThat(other.items()).containsExactlyInAnyOrderElementsOf(watcher.items());
  }

  private static final StoreResponse UNREADABLE = new StoreResponse.Unreadable("cut off");

  /** The watch was repeated with the same position, and got the same response, for good. */
  @Test
  void itemsAreReadByPagesAfterAWatchWhoseResponseCannotBeRead() {
    watcher.onResponse(0, page(false, 10, item("a", "1", 3)));
    assertThat(call(0)).isInstanceOf(StoreRequest.Watch.class);

    watcher.onResponse(0, UNREADABLE);

    assertThat(call(0)).isEqualTo(new StoreRequest.Read("", Optional.empty()));
    assertThat(watcher.items()).containsExactly(item("a", "1", 3));
    assertThat(watcher.onResponse(0, page(false, 20, item("a", "2", 15)))).isTrue();
    assertThat(watcher.items()).containsExactly(item("a", "2", 15));
  }

  @Test
  void readsAreSpacedWhileNoWatchCanBeRead() {
    long now = 0;
    int calls = 0;
    while (now < 60_000) {
      if (watcher.nextStep(now) instanceof Step.Call call) {
        calls++;
        boolean isRead = call.call() instanceof StoreRequest.Read;
        watcher.onResponse(now, isRead ? page(false, 10, item("a", "1", 3)) : UNREADABLE);
      }
      now += 10;
    }

    assertThat(calls).isLessThan(200);
  }

  @Test
  void readBeginsAnewAfterAPageThatCannotBeRead() {
    watcher.onResponse(0, page(true, 10, item("a", "1", 3)));

    watcher.onResponse(0, UNREADABLE);

    assertThat(call(100_000)).isEqualTo(new StoreRequest.Read("", Optional.empty()));
  }
}
