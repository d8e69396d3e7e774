package io.umberpath.control.store;

import java.util.Optional;

/** A read-only call to the store. */
public sealed interface StoreRequest {
  /**
   * Reads a page of the items.
   *
   * @param prefix prefix of their keys
   * @param after key after which the page begins; empty for the first page
   */
  record Read(String prefix, Optional<String> after) implements StoreRequest {}

  /**
   * Waits for changes.
   *
   * @param prefix prefix of the keys
   * @param afterRevision changes up to and including this revision are known
   * @param waitMillis how long the store may wait for a change
   */
  record Watch(String prefix, long afterRevision, long waitMillis) implements StoreRequest {}
}
