package io.umberpath.control.store;

import java.util.List;
import java.util.OptionalLong;

/** What became of a call to the store. */
public sealed interface StoreAnswer {
  /** The store's era as the answer names it; empty for one that says nothing of the store. */
  default OptionalLong era() {
    return OptionalLong.empty();
  }

  /**
   * A page of items; pages of one read are no snapshot.
   *
   * @param items in the order of their keys
   * @param more whether another page follows
   * @param at the store's position
   */
  record Page(List<StoreItem> items, boolean more, StorePosition at) implements StoreAnswer {
    @Override
    public OptionalLong era() {
      return OptionalLong.of(at.era());
    }
  }

  /**
   * Changes in order, possibly none.
   *
   * @param events the changes
   * @param at position to continue from
   */
  record Events(List<StoreEvent> events, StorePosition at) implements StoreAnswer {
    @Override
    public OptionalLong era() {
      return OptionalLong.of(at.era());
    }
  }

  /**
   * The store does not have the changes asked for.
   *
   * @param storeEra the store's era
   */
  record HistoryGone(long storeEra) implements StoreAnswer {
    @Override
    public OptionalLong era() {
      return OptionalLong.of(storeEra);
    }
  }

  /** The store refuses for now, because too much is asked of it. */
  record Throttled() implements StoreAnswer {}

  /**
   * No answer, or none that can be used; nothing is known.
   *
   * @param cause for the log
   */
  record Unavailable(String cause) implements StoreAnswer {}
}
