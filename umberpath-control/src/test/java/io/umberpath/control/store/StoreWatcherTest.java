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

  private static StoreAnswer.Page page(boolean more, long at, StoreItem... items) {
    return new StoreAnswer.Page(List.of(items), more, position(at));
  }

  private static StoreAnswer.Events events(long at, StoreEvent... events) {
    return new StoreAnswer.Events(List.of(events), position(at));
  }

  private static StoreChanges fullState(long at, StoreItem... items) {
    return new StoreChanges(StorePosition.NOTHING, position(at), List.of(items), List.of());
  }

  private static StateRequest since(long revision) {
    return new StateRequest(position(revision), StateRequest.NO_ITEM);
  }

  /** An item long enough for patches; its versions differ only at the end. */
  private static StoreItem large(int end, long revision) {
    return item("large", "{some text}".repeat(1_000) + "{" + end + "}", revision);
  }

  private StoreCall call(long now) {
    return ((Step.Call) watcher.next(now)).call();
  }

  @Test
  void readsAllPagesThenWatchesFromTheFirstPagePosition() {
    assertThat(call(0)).isEqualTo(new StoreCall.Read("", Optional.empty()));
    watcher.answered(0, page(true, 10, item("a", "1", 3)));
    assertThat(watcher.items()).isEmpty();
    assertThat(call(0)).isEqualTo(new StoreCall.Read("", Optional.of("a")));

    assertThat(watcher.answered(0, page(false, 12, item("b", "1", 12)))).isTrue();

    assertThat(watcher.items()).hasSize(2);
    assertThat(call(0)).isEqualTo(new StoreCall.Watch("", 10, 6_000));
  }

  @Test
  void watchEventsOlderThanTheReadAreIgnored() {
    watcher.answered(0, page(true, 10, item("a", "1", 3)));
    watcher.answered(0, page(false, 14, item("b", "new", 14)));

    boolean changed =
        watcher.answered(
            0,
            events(
                14,
                new StoreEvent.Put(item("b", "old", 11)),
                new StoreEvent.Gone("b", 12),
                new StoreEvent.Put(item("b", "new", 14))));

    assertThat(changed).isFalse();
    assertThat(watcher.items()).contains(item("b", "new", 14));
  }

  @Test
  void eventsUpdateItems() {
    watcher.answered(0, page(false, 10, item("a", "1", 3), item("b", "1", 4)));

    watcher.answered(
        0, events(12, new StoreEvent.Put(item("a", "2", 11)), new StoreEvent.Gone("b", 12)));

    assertThat(watcher.items()).containsExactly(item("a", "2", 11));
    assertThat(watcher.at()).isEqualTo(position(12));
  }

  /** When many backends start at once, each change should be received quickly. */
  @Test
  void pollsQuicklyAFewTimesWhenChangesBegin() {
    StoreWatcher quick =
        new StoreWatcher(
            "", new StoreWatcherSettings(800, 0.5, 600, 60, 2, 2_000, 150, 1_000), () -> 0.5);
    quick.answered(0, page(false, 10));
    StoreAnswer change = events(11, new StoreEvent.Put(item("a", "1", 11)));

    quick.answered(100, change);
    assertThat(quick.next(100)).isEqualTo(new Step.Wait(160));
    quick.answered(200, change);
    assertThat(quick.next(200)).isEqualTo(new Step.Wait(260));
    quick.answered(300, change);
    assertThat(quick.next(300)).isEqualTo(new Step.Wait(900));

    quick.answered(2_100, change);
    assertThat(quick.next(2_100)).isEqualTo(new Step.Wait(2_160));
    quick.answered(2_300, change);
    assertThat(quick.next(2_300)).isEqualTo(new Step.Wait(2_900));
  }

  @Test
  void pausesAfterEventsButNotAfterAnEmptyWatch() {
    watcher.answered(0, page(false, 10));
    watcher.answered(1_000, events(10));
    assertThat(watcher.next(1_000)).isInstanceOf(Step.Call.class);

    watcher.answered(1_000, events(11, new StoreEvent.Put(item("a", "1", 11))));

    assertThat(watcher.next(1_000)).isEqualTo(new Step.Wait(1_200));
  }

  @Test
  void rereadsWhenHistoryHasExpiredAndKeepsItsItemsMeanwhile() {
    watcher.answered(0, page(false, 10, item("a", "1", 3)));

    watcher.answered(0, new StoreAnswer.HistoryGone(StorePosition.NO_ERA));

    assertThat(watcher.items()).hasSize(1);
    assertThat(call(0)).isInstanceOf(StoreCall.Read.class);
    assertThat(watcher.answered(0, page(false, 30, item("c", "1", 25)))).isTrue();
    assertThat(watcher.items()).containsExactly(item("c", "1", 25));
  }

  @Test
  void backsOffWhileTheStoreFails() {
    watcher.answered(0, new StoreAnswer.Unavailable("reset"));
    assertThat(watcher.next(0)).isEqualTo(new Step.Wait(100));
    watcher.answered(100, new StoreAnswer.Throttled());
    assertThat(watcher.next(100)).isEqualTo(new Step.Wait(300));
    for (int index = 0; index < 10; index++) {
      watcher.answered(1_000, new StoreAnswer.Unavailable("reset"));
    }
    assertThat(watcher.next(1_000)).isEqualTo(new Step.Wait(2_000));

    watcher.answered(2_000, page(false, 10));
    assertThat(watcher.next(2_000)).isInstanceOf(Step.Call.class);
  }

  @Test
  void adoptsANewerStateFromAnotherNode() {
    watcher.answered(0, page(false, 10, item("a", "1", 3)));

    assertThat(watcher.adopt(fullState(20, item("a", "2", 15)))).isEqualTo(Adoption.CHANGED);
    assertThat(watcher.adopt(fullState(19, item("a", "1", 3)))).isEqualTo(Adoption.UNCHANGED);

    assertThat(watcher.items()).containsExactly(item("a", "2", 15));
    assertThat(call(0)).isEqualTo(new StoreCall.Watch("", 20, 6_000));
  }

  @Test
  void lateWatchResponseDoesNotRestoreRemovedItems() {
    watcher.answered(0, page(false, 10, item("a", "1", 3)));
    watcher.adopt(fullState(20));

    boolean changed = watcher.answered(0, events(15, new StoreEvent.Put(item("a", "2", 14))));

    assertThat(changed).isFalse();
    assertThat(watcher.items()).isEmpty();
    assertThat(watcher.at()).isEqualTo(position(20));
  }

  @Test
  void olderReadDoesNotReplaceANewerState() {
    watcher.answered(0, page(true, 10, item("a", "1", 3)));
    watcher.adopt(fullState(20, item("a", "2", 15)));

    assertThat(watcher.answered(0, page(false, 11))).isFalse();

    assertThat(watcher.items()).containsExactly(item("a", "2", 15));
  }

  /** A node that is behind adopts the changes of another one and then holds the same state. */
  @Test
  void changesSinceARevisionSynchronizeAnotherWatcher() {
    StoreWatcher behind = new StoreWatcher("", SETTINGS, () -> 1);
    watcher.answered(0, page(false, 10, item("a", "1", 3), item("b", "1", 4), item("c", "1", 5)));
    behind.adopt(watcher.changesSince(since(-1)));
    watcher.answered(
        0, events(14, new StoreEvent.Gone("b", 12), new StoreEvent.Put(item("a", "2", 14))));

    StoreChanges changes = watcher.changesSince(since(10));

    assertThat(changes.isWhole()).isFalse();
    assertThat(changes.items()).containsExactly(item("a", "2", 14));
    assertThat(changes.gone()).containsExactly(new StoreEvent.Gone("b", 12));
    assertThat(behind.adopt(changes)).isEqualTo(Adoption.CHANGED);
    assertThat(behind.at()).isEqualTo(position(14));
    assertThat(behind.items()).containsExactlyInAnyOrderElementsOf(watcher.items());
    assertThat(behind.changesSince(since(10))).isEqualTo(changes);
  }

  /**
   * Removals before the last full read are unknown, so a node further behind needs the full state.
   */
  @Test
  void nodeBehindTheLastFullReadGetsTheFullState() {
    watcher.answered(0, page(false, 10, item("a", "1", 3)));

    assertThat(watcher.changesSince(since(9))).isEqualTo(fullState(10, item("a", "1", 3)));
    assertThat(watcher.changesSince(since(10)).isWhole()).isFalse();
  }

  @Test
  void rememberedRemovalsAreBounded() {
    watcher.answered(0, page(false, 10));
    for (int revision = 11; revision < 2_011; revision++) {
      watcher.answered(0, events(revision, new StoreEvent.Gone("key-" + revision, revision)));
    }

    assertThat(watcher.changesSince(since(10)).isWhole()).isTrue();
    assertThat(watcher.changesSince(since(1_500)).gone()).hasSize(510);
  }

  @Test
  void changesWithAGapAreNotAdopted() {
    watcher.answered(0, page(false, 10, item("a", "1", 3)));

    assertThat(watcher.adopt(new StoreChanges(position(12), position(14), List.of(), List.of())))
        .isEqualTo(Adoption.UNCHANGED);
    assertThat(watcher.at()).isEqualTo(position(10));
  }

  private StoreWatcher watcherOf(StoreItem item, long at) {
    StoreWatcher other = new StoreWatcher("", SETTINGS, () -> 1);
    other.answered(0, page(false, at, item));
    return other;
  }

  @Test
  void largeItemIsSentAsPatchesThatCanBeForwarded() {
    StoreWatcher second = watcherOf(large(1, 5), 5);
    StoreWatcher third = watcherOf(large(1, 5), 5);
    watcher.answered(0, page(false, 5, large(1, 5)));
    watcher.answered(0, events(8, new StoreEvent.Put(large(2, 8))));
    watcher.answered(1_000, events(9, new StoreEvent.Put(large(3, 9))));

    StoreChanges changes = watcher.changesSince(second.request());
    assertThat(changes.items()).isEmpty();
    assertThat(changes.patches()).hasSize(2);
    assertThat(second.adopt(changes)).isEqualTo(Adoption.CHANGED);
    assertThat(second.items()).containsExactly(large(3, 9));

    StoreChanges forwarded = second.changesSince(third.request());
    assertThat(forwarded.patches()).isEqualTo(changes.patches());
    assertThat(third.adopt(forwarded)).isEqualTo(Adoption.CHANGED);
    assertThat(third.items()).containsExactly(large(3, 9));
  }

  @Test
  void nodeWithoutAMatchingPatchBaseGetsTheFullItem() {
    watcher.answered(0, page(false, 5, large(1, 5)));
    watcher.answered(0, events(9, new StoreEvent.Put(large(3, 9))));
    StoreWatcher between = watcherOf(large(2, 8), 8);

    StoreChanges changes = watcher.changesSince(between.request());

    assertThat(changes.patches()).isEmpty();
    assertThat(between.adopt(changes)).isEqualTo(Adoption.CHANGED);
    assertThat(between.items()).containsExactly(large(3, 9));
  }

  /** No partial state: the other changes that came with a mismatched patch are rejected too. */
  @Test
  void changesWithAMismatchedPatchAreRejectedEntirely() {
    watcher.answered(0, page(false, 5, large(1, 5)));
    watcher.answered(
        0, events(9, new StoreEvent.Put(large(3, 8)), new StoreEvent.Put(item("a", "1", 9))));
    StoreItem otherText = item("large", large(1, 5).value().replaceFirst("some", "same"), 5);
    StoreWatcher other = watcherOf(otherText, 5);

    StoreChanges changes = watcher.changesSince(other.request());

    assertThat(other.adopt(changes)).isEqualTo(Adoption.UNFIT);
    assertThat(other.items()).containsExactly(otherText);
    assertThat(other.at()).isEqualTo(position(5));
    assertThat(other.adopt(watcher.changesSince(StateRequest.WHOLE))).isEqualTo(Adoption.CHANGED);
    assertThat(other.items()).containsExactlyInAnyOrderElementsOf(watcher.items());
  }
}
