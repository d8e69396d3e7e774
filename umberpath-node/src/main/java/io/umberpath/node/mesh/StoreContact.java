package io.umberpath.node.mesh;

/**
 * Whether the store answers this node.
 *
 * @param reachable whether its last call was answered
 * @param sinceMillis since when, on the proxy's clock
 */
record StoreContact(boolean reachable, long sinceMillis) {
  /** Contact from the start on. */
  static final StoreContact FROM_START = new StoreContact(true, Long.MIN_VALUE / 2);

  /** Time after which entries are back that lapsed while there was no contact, milliseconds. */
  private static final long ENTRIES_RENEWED_MILLIS = 2_000;

  /** The same for this node's own back end, whose heartbeats take the same way. */
  private static final long OWN_ENTRY_RENEWED_MILLIS = 2_500;

  /** Whether an entry may be missing because there was no contact. */
  boolean mayMissEntries(long nowMillis) {
    return !reachable || nowMillis < sinceMillis + OWN_ENTRY_RENEWED_MILLIS;
  }

  /**
   * Whether a back end is gone whose entry has been missing since before the store came back: those
   * that live and reach it are listed again by then.
   */
  boolean confirmsRemoval(long missingSinceMillis, long nowMillis) {
    long renewedByMillis = sinceMillis + ENTRIES_RENEWED_MILLIS;
    return reachable && missingSinceMillis < renewedByMillis && nowMillis >= renewedByMillis;
  }
}
