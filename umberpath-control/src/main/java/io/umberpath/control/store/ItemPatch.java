package io.umberpath.control.store;

import java.util.Optional;

/**
 * How one revision of an item becomes a later one.
 *
 * @param key key of the item
 * @param fromRevision revision of the item that the patch applies to
 * @param revision revision of the item that it makes
 * @param patch of its value
 */
public record ItemPatch(String key, long fromRevision, long revision, TextPatch patch) {
  /** The later item; empty if the patch was not made for the item that is held. */
  public Optional<StoreItem> applyTo(StoreItem current) {
    if (current == null || current.revision() != fromRevision || !current.key().equals(key)) {
      return Optional.empty();
    }
    return patch.applyTo(current.value()).map(value -> new StoreItem(key, value, revision));
  }
}
