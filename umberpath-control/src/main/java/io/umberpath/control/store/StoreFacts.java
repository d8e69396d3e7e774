package io.umberpath.control.store;

import java.util.List;
import java.util.Optional;

/**
 * State that cannot be undone and therefore holds whatever the store shows. Nodes exchange it in
 * addition to the store's items, because a starting node may read only an older copy.
 *
 * @param configuration the newest accepted configuration where the store shows an older one; empty
 *     if the store's items contain it
 * @param departed backend starts that are draining or have ended
 */
public record StoreFacts(
    Optional<StoreItem> configuration, List<DepartedStarts.Departed> departed) {
  /** No state in addition to the store's items. */
  public static final StoreFacts NONE = new StoreFacts(Optional.empty(), List.of());
}
