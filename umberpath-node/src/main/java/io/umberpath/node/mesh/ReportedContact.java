package io.umberpath.node.mesh;

/**
 * The contact with the store that a node reports.
 *
 * @param state outcome of its calls
 * @param durationMillis how long the state has lasted, milliseconds
 */
record ReportedContact(State state, long durationMillis) {
  /** Outcome of a node's calls to the store. */
  enum State {
    /** It makes no calls, and none failed recently. */
    NONE,
    /** The store responds to its calls. */
    REACHABLE,
    /** The last call failed. */
    LOST
  }

  static final ReportedContact NO_CALLS = new ReportedContact(State.NONE, 0);

  /** Upper limit of the reported duration, milliseconds. */
  private static final long MAX_DURATION_MILLIS = 1_000_000;

  /** Creates the report of a contact. */
  static ReportedContact of(StoreContact contact, long nowMillis) {
    long durationMillis = Math.min(MAX_DURATION_MILLIS, nowMillis - contact.sinceMillis());
    return new ReportedContact(
        contact.reachable() ? State.REACHABLE : State.LOST, Math.max(0, durationMillis));
  }

  /** Converts to a contact on this node's clock. */
  StoreContact toStoreContact(long reportedAtMillis) {
    return new StoreContact(state == State.REACHABLE, reportedAtMillis - durationMillis);
  }
}
