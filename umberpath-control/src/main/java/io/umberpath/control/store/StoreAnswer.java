package io.umberpath.control.store;

import java.util.List;

/** What became of a call to the store. */
public sealed interface StoreAnswer {
  /**
   * A page of items; pages of one read are no snapshot.
   *
   * @param items in the order of their keys
   * @param more whether another page follows
   * @param at the store's revision
   */
  record Page(List<StoreItem> items, boolean more, long at) implements StoreAnswer {}

  /**
   * Changes in order, possibly none.
   *
   * @param events the changes
   * @param at revision to continue from
   */
  record Events(List<StoreEvent> events, long at) implements StoreAnswer {}

  /** The store no longer has the changes asked for. */
  record HistoryGone() implements StoreAnswer {}

  /** The store refuses for now, because too much is asked of it. */
  record Throttled() implements StoreAnswer {}

  /**
   * No answer, or none that can be used; nothing is known.
   *
   * @param cause for the log
   */
  record Unavailable(String cause) implements StoreAnswer {}
}
