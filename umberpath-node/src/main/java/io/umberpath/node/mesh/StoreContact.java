package io.umberpath.node.mesh;

/**
 * Whether the store is reachable from this node.
 *
 * @param reachable whether its last call was answered
 * @param sinceMillis start of that state on the node's clock, milliseconds
 */
record StoreContact(boolean reachable, long sinceMillis) {
  /** Contact since the start of the process. */
  static final StoreContact FROM_START = new StoreContact(true, Long.MIN_VALUE / 2);

  /** Time after reconnection by which entries that expired meanwhile are renewed, milliseconds. */
  private static final long ENTRIES_RENEWED_MILLIS = 2_000;

  /** The same for the local backend, whose heartbeats use the same path. */
  private static final long OWN_ENTRY_RENEWED_MILLIS = 2_500;

  /** Whether an entry may be missing because contact was lost. */
  boolean mayMissEntries(long nowMillis) {
    return !reachable || nowMillis < sinceMillis + OWN_ENTRY_RENEWED_MILLIS;
  }

  /**
   * Whether a backend is gone whose entry was missing before the store was reachable again: those
   * that are alive and reach the store have been listed again by now.
   */
  boolean confirmsRemoval(long missingSinceMillis, long nowMillis) {
    long renewedByMillis = sinceMillis + ENTRIES_RENEWED_MILLIS;
    return reachable && missingSinceMillis < renewedByMillis && nowMillis >= renewedByMillis;
  }
}
