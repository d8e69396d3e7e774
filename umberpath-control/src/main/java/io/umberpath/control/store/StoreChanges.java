package io.umberpath.control.store;

import java.util.List;

/**
 * What changed in the store between two revisions, as nodes pass it on to each other.
 *
 * @param after revision that the changes start from; -1 if they are the whole state
 * @param at revision that they lead to; -1 if nothing is held
 * @param items items that were written since
 * @param gone items that were removed since
 * @param patches changes of large items, each of the item that the one before it makes
 */
public record StoreChanges(
    long after,
    long at,
    List<StoreItem> items,
    List<StoreEvent.Gone> gone,
    List<ItemPatch> patches) {
  /** Changes without patches. */
  public StoreChanges(long after, long at, List<StoreItem> items, List<StoreEvent.Gone> gone) {
    this(after, at, items, gone, List.of());
  }

  /** Start of changes that are the whole state. */
  public static final long FROM_NOTHING = -1;

  /** Whether they are the whole state. */
  public boolean isWhole() {
    return after == FROM_NOTHING;
  }
}
