package io.umberpath.control.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.BackendListing.EffectiveListing;
import io.umberpath.control.store.BackendListing.StoreView;
import io.umberpath.control.store.BackendListing.StoredEntry;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.BackendEntry.State;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Effects of a store that is restored from an older copy on the backends that a node uses. */
final class BackendListingTest {
  private final BackendListing listing = new BackendListing();

  private static StoredEntry entry(String id, int port, State state, long revision) {
    PeerAddress address = new PeerAddress("10.0.0.1", port);
    return new StoredEntry(new BackendEntry(id, "booking", address, "z", 6, state, 0), revision);
  }

  private static StoredEntry ready(String id, int port, long revision) {
    return entry(id, port, State.READY, revision);
  }

  private static StoredEntry draining(String id, int port, long revision) {
    return entry(id, port, State.DRAINING, revision);
  }

  /** Sorted ids of the backends that accept new requests. */
  private List<String> ready(long nowMillis, long era, long revision, StoredEntry... listed) {
    return ready(update(listing, nowMillis, era, revision, Set.of(), listed));
  }

  private static List<String> ready(EffectiveListing effective) {
    return effective.entries().stream()
        .filter(entry -> entry.state() == State.READY)
        .map(BackendEntry::id)
        .sorted()
        .toList();
  }

  private static EffectiveListing update(
      BackendListing listing,
      long nowMillis,
      long era,
      long revision,
      Set<String> zones,
      StoredEntry... listed) {
    StoreView view = new StoreView(new StorePosition(era, revision), List.of(listed), zones);
    return listing.update(nowMillis, view, service -> true);
  }

  @Test
  void drainingBackendIsNotReadyAgainInAnOlderCopy() {
    ready(0, 1, 10, ready("a", 80, 3), ready("b", 81, 4));
    assertThat(ready(100, 1, 12, draining("a", 80, 12), ready("b", 81, 4))).containsExactly("b");

    assertThat(ready(200, 2, 10, ready("a", 80, 3), ready("b", 81, 4))).containsExactly("b");

    assertThat(ready(90_000, 2, 40, ready("a", 80, 3), ready("b", 81, 4))).containsExactly("b");
  }

  /** Revisions of the newer era exceed that of the departure, but are not comparable with it. */
  @Test
  void drainingBackendIsReadyAgainOnlyAfterItWritesInTheNewEra() {
    ready(0, 1, 10, ready("a", 80, 3));
    ready(100, 1, 12, draining("a", 80, 12));

    assertThat(ready(200, 2, 15, ready("a", 80, 14))).isEmpty();

    assertThat(ready(300, 2, 16, ready("a", 80, 16))).containsExactly("a");
  }

  @Test
  void endedBackendStaysUnlistedUntilItsEntryIsRenewed() {
    ready(0, 1, 10, ready("a", 80, 3), ready("b", 81, 4));
    ready(100, 1, 12, ready("b", 81, 4));

    assertThat(ready(200, 2, 10, ready("a", 80, 3), ready("b", 81, 4))).containsExactly("b");
    long kept = 200 + BackendListing.RETENTION_MILLIS;
    assertThat(ready(kept, 2, 10, ready("a", 80, 3), ready("b", 81, 4))).containsExactly("b");
    assertThat(listing.isUpdateDue(200 + BackendListing.UNRENEWED_ENTRY_MILLIS - 1)).isFalse();
    assertThat(listing.isUpdateDue(200 + BackendListing.UNRENEWED_ENTRY_MILLIS)).isTrue();

    long renewed = 200 + BackendListing.UNRENEWED_ENTRY_MILLIS;
    assertThat(ready(renewed, 2, 10, ready("a", 80, 3), ready("b", 81, 4)))
        .containsExactly("a", "b");
    assertThat(listing.isUpdateDue(Long.MAX_VALUE - 1)).isFalse();
  }

  @Test
  void entriesMissingFromTheCopyAreRetainedForALimitedTime() {
    update(listing, 0, 1, 10, Set.of("z"), ready("a", 80, 3), ready("new", 81, 9));

    EffectiveListing restored = update(listing, 200, 2, 8, Set.of(), ready("a", 80, 3));
    assertThat(ready(restored)).containsExactly("a", "new");
    assertThat(restored.evacuatedZones()).containsExactly("z");
    assertThat(listing.retainedEntryCount()).isEqualTo(1);
    assertThat(listing.isUpdateDue(200 + BackendListing.RETENTION_MILLIS)).isTrue();

    long settled = 200 + BackendListing.RETENTION_MILLIS;
    assertThat(ready(settled, 2, 8, ready("a", 80, 3))).containsExactly("a");
    assertThat(listing.retainedEntryCount()).isZero();
  }

  @Test
  void retainedEntryEndsWhenItIsRewrittenAndRemoved() {
    ready(0, 1, 10, ready("new", 81, 9));
    ready(200, 2, 8);
    ready(300, 2, 9, ready("new", 81, 9));

    assertThat(ready(400, 2, 10)).isEmpty();
  }

  /** The copy lists the previous backend at the address, which has ended since. */
  @Test
  void reusedAddressBelongsToTheLatestBackend() {
    ready(0, 1, 10, ready("old", 80, 3));
    ready(100, 1, 12, ready("old", 80, 3), ready("new", 80, 12));

    assertThat(ready(200, 2, 10, ready("old", 80, 3))).containsExactly("new");
    assertThat(ready(300, 2, 11, ready("old", 80, 3), ready("new", 80, 11))).containsExactly("new");
    assertThat(ready(90_000, 2, 12, ready("new", 80, 11))).containsExactly("new");
  }

  /** The previous backend must not be listed again once the later one is gone. */
  @Test
  void retainedEntryEndsWhenItsAddressIsReused() {
    ready(0, 1, 10, ready("old", 80, 3));
    assertThat(ready(200, 2, 2)).containsExactly("old");
    assertThat(ready(300, 2, 3, ready("new", 80, 3))).containsExactly("new");

    assertThat(ready(400, 2, 4)).isEmpty();
  }

  /**
   * Entries expire while the store is unavailable and are then rewritten by the same backend start.
   */
  @Test
  void rewrittenExpiredEntryIsListedImmediately() {
    ready(0, 1, 10, ready("a", 80, 3));
    ready(100, 1, 12);

    assertThat(ready(200, 1, 13, ready("a", 80, 13))).containsExactly("a");
  }

  @Test
  void departuresReachANodeThatReadsOnlyTheCopy() {
    ready(0, 1, 10, ready("a", 80, 3), ready("b", 81, 4), ready("c", 82, 5));
    ready(100, 1, 12, draining("a", 80, 11), ready("c", 82, 5));
    StoredEntry[] copy = {ready("a", 80, 3), ready("b", 81, 4), ready("c", 82, 5)};
    ready(200, 2, 10, copy);
    BackendListing other = new BackendListing();
    assertThat(ready(update(other, 0, 2, 10, Set.of(), copy))).containsExactly("a", "b", "c");

    assertThat(other.addDepartures(100, listing.departuresToShare())).isTrue();

    assertThat(ready(update(other, 100, 2, 10, Set.of(), copy))).containsExactly("c");
    assertThat(other.addDepartures(200, listing.departuresToShare())).isFalse();
  }

  @Test
  void entriesAreRetainedAcrossTwoRestoresInQuickSuccession() {
    ready(0, 1, 10, ready("a", 80, 3), ready("new", 81, 9));
    ready(200, 2, 8, ready("a", 80, 3));

    assertThat(ready(300, 3, 7, ready("a", 80, 3))).containsExactly("a", "new");
    assertThat(listing.isUpdateDue(200 + BackendListing.RETENTION_MILLIS)).isFalse();
  }

  @Test
  void rememberedDeparturesAreBounded() {
    int count = DepartedStarts.MAX_STARTS + 500;
    StoredEntry[] all =
        Stream.iterate(0, index -> index + 1)
            .limit(count)
            .map(index -> ready("i-" + index, 1_000 + index, 3))
            .toArray(StoredEntry[]::new);
    ready(0, 1, 10, all);
    ready(100, 1, 12);

    assertThat(listing.departuresToShare()).hasSizeLessThan(100);
    assertThat(ready(200, 2, 10, all)).hasSize(500);
  }

  @Test
  void unchangedEntriesKeepObjectIdentity() {
    StoredEntry draining = draining("a", 80, 12);
    StoredEntry copied = ready("a", 80, 3);
    ready(0, 1, 12, draining);

    EffectiveListing first = update(listing, 100, 2, 10, Set.of(), copied);
    EffectiveListing second = update(listing, 200, 2, 11, Set.of(), copied);

    assertThat(second.entries().get(0)).isSameAs(first.entries().get(0));
  }
}
