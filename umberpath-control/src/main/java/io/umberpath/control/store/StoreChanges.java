package io.umberpath.control.store;

import java.util.List;

/**
 * Changes of the store between two positions, as exchanged between nodes.
 *
 * @param after position that the changes apply to, in the same era as the resulting one; {@link
 *     StorePosition#UNKNOWN} if they are the full state
 * @param position resulting position; {@link StorePosition#UNKNOWN} if nothing is held
 * @param items items written since
 * @param removed items removed since
 * @param patches patches of large items, each based on the result of the one before it
 */
public record StoreChanges(
    StorePosition after,
    StorePosition position,
    List<StoreItem> items,
    List<StoreEvent.Delete> removed,
    List<ItemPatch> patches) {
  /** Changes without patches. */
  public StoreChanges(
      StorePosition after,
      StorePosition position,
      List<StoreItem> items,
      List<StoreEvent.Delete> removed) {
    this(after, position, items, removed, List.of());
  }

  /** Whether this is the full state. */
  public boolean isWhole() {
    return !after.isKnown();
  }
}
