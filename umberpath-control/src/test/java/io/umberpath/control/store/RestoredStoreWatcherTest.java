package io.umberpath.control.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.StoreWatcher.Adoption;
import io.umberpath.control.store.StoreWatcher.Step;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** A store that is restored from an older copy issues the same revisions again, in a newer era. */
final class RestoredStoreWatcherTest {
  private static final StoreWatcherSettings SETTINGS =
      new StoreWatcherSettings(4_000, 200, 100, 1_000);

  private final StoreWatcher watcher = watcher();

  private static StoreWatcher watcher() {
    return new StoreWatcher("", SETTINGS, () -> 1);
  }

  private static StoreItem item(String key, String value, long revision) {
    return new StoreItem(key, value, revision);
  }

  private static StorePosition position(long era, long revision) {
    return new StorePosition(era, revision);
  }

  private static StoreResponse.Page page(StorePosition at, StoreItem... items) {
    return new StoreResponse.Page(List.of(items), false, at);
  }

  private static StoreResponse.Events events(StorePosition at, StoreEvent... events) {
    return new StoreResponse.Events(List.of(events), at);
  }

  private static StoreItem large(String end, long revision) {
    return item("large", "{some text}".repeat(1_000) + end, revision);
  }

  private StoreRequest call() {
    return ((Step.Call) watcher.nextStep(0)).call();
  }

  /** Holds revision 20 of era 1 and is then told that the store no longer has it. */
  private void expireHistory() {
    watcher.onResponse(0, page(position(1, 20), item("a", "1", 18), item("b", "1", 20)));
    call();
    watcher.onResponse(0, new StoreResponse.HistoryGone(2));
  }

  @Test
  void readInANewerEraReplacesAStateWithAHigherRevision() {
    expireHistory();
    assertThat(call()).isEqualTo(new StoreRequest.Read("", Optional.empty()));

    assertThat(watcher.onResponse(0, page(position(2, 18), item("a", "1", 18)))).isTrue();

    assertThat(watcher.items()).containsExactly(item("a", "1", 18));
    assertThat(watcher.position()).isEqualTo(position(2, 18));
    assertThat(call()).isEqualTo(new StoreRequest.Watch("", 18, 6_000));
  }

  /** The revisions of the new era exceed the held one, so the watch is not rejected. */
  @Test
  void eventsOfANewerEraAreNotAppliedToAStateOfThePreviousEra() {
    watcher.onResponse(0, page(position(1, 20), item("a", "1", 18)));
    call();

    boolean changed =
        watcher.onResponse(0, events(position(2, 22), new StoreEvent.Put(item("a", "3", 22))));

    assertThat(changed).isFalse();
    assertThat(call()).isInstanceOf(StoreRequest.Read.class);
  }

  @Test
  void eventsOfAWatchFromThePreviousEraAreNotAppliedToAnAdoptedState() {
    watcher.onResponse(0, page(position(1, 20), item("a", "1", 18)));
    call();
    watcher.adopt(changes(position(2, 15), item("a", "1", 15)));

    boolean changed =
        watcher.onResponse(0, events(position(2, 22), new StoreEvent.Put(item("b", "3", 22))));

    assertThat(changed).isFalse();
    assertThat(watcher.position()).isEqualTo(position(2, 15));
    assertThat(call()).isEqualTo(new StoreRequest.Watch("", 15, 6_000));
  }

  /**
   * The response comes from a store instance that has not been switched over yet, or was delayed.
   */
  @Test
  void responsesOfAPreviousEraAreIgnored() {
    expireHistory();
    watcher.onResponse(0, page(position(2, 18), item("a", "1", 18)));

    assertThat(watcher.onResponse(0, page(position(1, 30), item("a", "9", 30)))).isFalse();
    assertThat(watcher.onResponse(0, new StoreResponse.HistoryGone(1))).isFalse();
    StoreEvent late = new StoreEvent.Put(item("a", "9", 30));
    assertThat(watcher.onResponse(0, events(position(1, 30), late))).isFalse();

    assertThat(watcher.position()).isEqualTo(position(2, 18));
    assertThat(watcher.nextStep(0)).isInstanceOf(Step.Wait.class);
  }

  @Test
  void rejectedWatchWithoutAnEraTriggersARead() {
    watcher.onResponse(0, page(position(1, 20), item("a", "1", 18)));
    call();

    watcher.onResponse(0, new StoreResponse.HistoryGone(StorePosition.NO_ERA));

    assertThat(call()).isEqualTo(new StoreRequest.Read("", Optional.empty()));
  }

  @Test
  void pagesOfDifferentErasAreNotCombined() {
    watcher.onResponse(
        0, new StoreResponse.Page(List.of(item("a", "1", 18)), true, position(1, 20)));

    watcher.onResponse(0, page(position(2, 19), item("b", "1", 19)));

    assertThat(watcher.items()).isEmpty();
    assertThat(call()).isEqualTo(new StoreRequest.Read("", Optional.empty()));
  }

  private static StoreChanges changes(StorePosition at, StoreItem... items) {
    return new StoreChanges(StorePosition.UNKNOWN, at, List.of(items), List.of());
  }

  @Test
  void nodeInThePreviousEraTakesTheFullStateAndOffersNone() {
    expireHistory();
    watcher.onResponse(0, page(position(2, 18), item("a", "1", 18)));
    StoreWatcher behind = watcher();
    behind.adopt(changes(position(1, 25), item("a", "2", 25)));

    StoreChanges given = watcher.changesSince(behind.stateRequest());
    StoreChanges returned = behind.changesSince(watcher.stateRequest());

    assertThat(given.isWhole()).isTrue();
    assertThat(returned.items()).isEmpty();
    assertThat(watcher.adopt(returned)).isEqualTo(Adoption.UNCHANGED);
    assertThat(watcher.adopt(behind.changesSince(StateRequest.WHOLE)))
        .isEqualTo(Adoption.UNCHANGED);
    assertThat(behind.adopt(given)).isEqualTo(Adoption.CHANGED);
    assertThat(behind.position()).isEqualTo(position(2, 18));
  }

  @Test
  void patchesDoNotCrossEras() {
    watcher.onResponse(0, page(position(1, 20), large("old", 20)));
    watcher.onResponse(0, new StoreResponse.HistoryGone(2));
    watcher.onResponse(0, page(position(2, 19), large("copy", 19)));
    call();
    watcher.onResponse(0, events(position(2, 20), new StoreEvent.Put(large("new", 20))));
    StoreWatcher other = watcher();
    other.onResponse(0, page(position(1, 19), large("else", 19)));

    StoreChanges changes = watcher.changesSince(other.stateRequest());

    assertThat(changes.patches()).isEmpty();
    assertThat(other.adopt(changes)).isEqualTo(Adoption.CHANGED);
    assertThat(other.items()).containsExactly(large("new", 20));
  }

  /** The store states no era, or its history expires again and again. */
  @Test
  void readsBackOffWhenEveryWatchIsRejected() {
    int calls = 0;
    long now = 0;
    while (now < 10_000) {
      Step step = watcher.nextStep(now);
      if (step instanceof Step.Wait wait) {
        now = wait.untilMillis();
        continue;
      }
      calls++;
      now++;
      boolean reads = ((Step.Call) step).call() instanceof StoreRequest.Read;
      watcher.onResponse(
          now, reads ? page(position(0, 5)) : new StoreResponse.HistoryGone(StorePosition.NO_ERA));
    }
    assertThat(calls).isLessThan(40);
  }
}
