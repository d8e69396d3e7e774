package io.umberpath.control.store;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Outcome of a call to the store. */
public sealed interface StoreResponse {
  /**
   * The store's era as stated by the response; empty if the response does not come from the store's
   * state.
   */
  default OptionalLong era() {
    return OptionalLong.empty();
  }

  /**
   * A page of items; the pages of one read do not form a snapshot.
   *
   * @param items the followed items, in key order
   * @param unusable the followed items that are of no use
   * @param nextAfter key after which the next page begins; empty on the last page
   * @param position the store's position
   */
  record Page(
      List<StoreItem> items,
      List<StoreEvent.Unusable> unusable,
      Optional<String> nextAfter,
      StorePosition position)
      implements StoreResponse {
    /** A page whose items are all of use. */
    public Page(List<StoreItem> items, boolean hasMore, StorePosition position) {
      this(items, List.of(), hasMore ? lastKey(items) : Optional.empty(), position);
    }

    private static Optional<String> lastKey(List<StoreItem> items) {
      return items.isEmpty() ? Optional.empty() : Optional.of(items.get(items.size() - 1).key());
    }

    /** Whether more pages follow. */
    public boolean hasMore() {
      return nextAfter.isPresent();
    }

    @Override
    public OptionalLong era() {
      return OptionalLong.of(position.era());
    }
  }

  /**
   * Changes in order; may be empty.
   *
   * @param events the changes
   * @param position from which to continue watching
   */
  record Events(List<StoreEvent> events, StorePosition position) implements StoreResponse {
    @Override
    public OptionalLong era() {
      return OptionalLong.of(position.era());
    }
  }

  /**
   * The store no longer has the requested changes.
   *
   * @param storeEra the store's era
   */
  record HistoryGone(long storeEra) implements StoreResponse {
    @Override
    public OptionalLong era() {
      return OptionalLong.of(storeEra);
    }
  }

  /** The store rejected the call because it is overloaded. */
  record Throttled() implements StoreResponse {}

  /**
   * The store answered, but its response could not be read to the end.
   *
   * @param cause description for the log
   */
  record Unreadable(String cause) implements StoreResponse {}

  /**
   * No response, or an error.
   *
   * @param cause description for the log
   */
  record Unavailable(String cause) implements StoreResponse {}
}
