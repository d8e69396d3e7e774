package io.umberpath.control.store;

/**
 * One item of the store.
 *
 * @param key its key
 * @param value its value as text
 * @param revision store revision of its last change
 */
public record StoreItem(String key, String value, long revision) {
  @Override
  public boolean equals(Object other) {
    return other instanceof StoreItem item
        && revision == item.revision
        && key.equals(item.key)
        && value.equals(item.value);
  }

  /** Ignores the value, which may be a hundred thousand characters long. */
  @Override
  public int hashCode() {
    return 31 * key.hashCode() + Long.hashCode(revision);
  }
}
