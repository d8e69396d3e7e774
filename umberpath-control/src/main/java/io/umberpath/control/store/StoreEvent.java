package io.umberpath.control.store;

/** One change in the store. */
public sealed interface StoreEvent {
  /** Key of the item. */
  String key();

  /** The store's revision of the change. */
  long revision();

  /** An item was written. */
  record Put(StoreItem item) implements StoreEvent {
    @Override
    public String key() {
      return item.key();
    }

    @Override
    public long revision() {
      return item.revision();
    }
  }

  /**
   * An item was written that is of no use, which counts as removed.
   *
   * @param reason names the field and its value
   */
  record Unusable(String key, long revision, String reason) implements StoreEvent {}

  /** An item was removed. */
  record Delete(String key, long revision) implements StoreEvent {}
}
