package io.umberpath.control.store;

import java.util.List;
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
   * @param items in key order
   * @param hasMore whether more pages follow
   * @param position the store's position
   */
  record Page(List<StoreItem> items, boolean hasMore, StorePosition position)
      implements StoreResponse {
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
   * No response, or an unusable one; the outcome is unknown.
   *
   * @param cause description for the log
   */
  record Unavailable(String cause) implements StoreResponse {}
}
