package io.umberpath.control.store;

import java.util.List;
import java.util.Optional;

/**
 * What holds whatever the store shows, because it cannot be undone. It travels between nodes beside
 * the store's items, as a node that starts reads perhaps only an older copy.
 *
 * @param configuration the newest accepted configuration where the store shows an older one; empty
 *     where it stands among the store's items
 * @param departed starts of back ends that leave or have ended
 */
public record StoreFacts(
    Optional<StoreItem> configuration, List<DepartedStarts.Departed> departed) {
  /** Nothing beside the store's items. */
  public static final StoreFacts NONE = new StoreFacts(Optional.empty(), List.of());
}
