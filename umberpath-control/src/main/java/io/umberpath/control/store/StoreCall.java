package io.umberpath.control.store;

import java.util.Optional;

/** A reading call to the store. */
public sealed interface StoreCall {
  /**
   * Reads a page of the items.
   *
   * @param prefix beginning of their keys
   * @param after key after which the page begins; empty for the first page
   */
  record Read(String prefix, Optional<String> after) implements StoreCall {}

  /**
   * Waits for changes.
   *
   * @param prefix beginning of the keys
   * @param afterRevision changes of this and older revisions are known
   * @param waitMillis how long the store may wait for a change
   */
  record Watch(String prefix, long afterRevision, long waitMillis) implements StoreCall {}
}
