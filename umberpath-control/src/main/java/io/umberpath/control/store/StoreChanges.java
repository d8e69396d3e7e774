package io.umberpath.control.store;

import java.util.List;

/**
 * What changed in the store between two positions, as nodes pass it on to each other.
 *
 * @param after position that the changes start from, of the same era as the one that they lead to;
 *     {@link StorePosition#NOTHING} if they are the whole state
 * @param at position that they lead to; {@link StorePosition#NOTHING} if nothing is held
 * @param items items that were written since
 * @param gone items that were removed since
 * @param patches changes of large items, each of the item that the one before it makes
 */
public record StoreChanges(
    StorePosition after,
    StorePosition at,
    List<StoreItem> items,
    List<StoreEvent.Gone> gone,
    List<ItemPatch> patches) {
  /** Changes without patches. */
  public StoreChanges(
      StorePosition after, StorePosition at, List<StoreItem> items, List<StoreEvent.Gone> gone) {
    this(after, at, items, gone, List.of());
  }

  /** Whether they are the whole state. */
  public boolean isWhole() {
    return !after.isKnown();
  }
}
