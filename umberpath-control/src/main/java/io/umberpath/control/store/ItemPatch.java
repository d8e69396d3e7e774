package io.umberpath.control.store;

import java.util.Optional;

/**
 * Converts one revision of an item into a later one.
 *
 * @param key key of the item
 * @param fromRevision revision of the item that the patch applies to
 * @param revision revision of the resulting item
 * @param patch to apply to its value
 */
public record ItemPatch(String key, long fromRevision, long revision, TextPatch patch) {
  /** The resulting item; empty if the patch was made for a different item or revision. */
  public Optional<StoreItem> applyTo(StoreItem current) {
    if (current == null || current.revision() != fromRevision || !current.key().equals(key)) {
      return Optional.empty();
    }
    return patch.applyTo(current.value()).map(value -> new StoreItem(key, value, revision));
  }
}
