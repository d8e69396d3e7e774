package io.umberpath.control.store;

import java.util.List;

/**
 * Changes of the store between two positions, as exchanged between nodes.
 *
 * @param after position that the changes apply to, in the same era as the resulting one; {@link
 *     StorePosition#NOTHING} if they are the full state
 * @param at resulting position; {@link StorePosition#NOTHING} if nothing is held
 * @param items items written since
 * @param gone items removed since
 * @param patches patches of large items, each based on the result of the one before it
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

  /** Whether this is the full state. */
  public boolean isWhole() {
    return !after.isKnown();
  }
}
