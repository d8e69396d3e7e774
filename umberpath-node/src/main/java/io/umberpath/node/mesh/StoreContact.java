package io.umberpath.node.mesh;

/**
 * Whether the store answers this node.
 *
 * @param reachable whether its last call was answered
 * @param sinceMillis since when, on the proxy's clock
 */
record StoreContact(boolean reachable, long sinceMillis) {
  /** Time after which entries are back that lapsed while there was no contact, milliseconds. */
  private static final long ENTRIES_BACK_MILLIS = 2_500;

  /** Whether an entry may be missing because there was no contact. */
  boolean mayMissEntries(long nowMillis) {
    return !reachable || nowMillis < sinceMillis + ENTRIES_BACK_MILLIS;
  }
}
