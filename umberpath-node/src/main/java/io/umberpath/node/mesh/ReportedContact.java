package io.umberpath.node.mesh;

/**
 * What a node says of its own calls to the store.
 *
 * @param state how they go
 * @param durationMillis for how long, milliseconds
 */
record ReportedContact(State state, long durationMillis) {
  /** How the calls of a node go. */
  enum State {
    /** It makes none, and none failed lately. */
    NONE,
    /** They are answered. */
    REACHABLE,
    /** The last one failed. */
    LOST
  }

  static final ReportedContact NO_CALLS = new ReportedContact(State.NONE, 0);

  /** Longest time that is stated, milliseconds. */
  private static final long MAX_DURATION_MILLIS = 1_000_000;

  /** States a contact that holds since a time. */
  static ReportedContact of(StoreContact contact, long nowMillis) {
    long durationMillis = Math.min(MAX_DURATION_MILLIS, nowMillis - contact.sinceMillis());
    return new ReportedContact(
        contact.reachable() ? State.REACHABLE : State.LOST, Math.max(0, durationMillis));
  }

  /** The contact on this node's clock. */
  StoreContact toStoreContact(long reportedAtMillis) {
    return new StoreContact(state == State.REACHABLE, reportedAtMillis - durationMillis);
  }
}
