package io.umberpath.control;

/** Deliberate faults, to prove that a checker of invariants detects them. */
public enum SeededFault {
  /** The leader commits without a quorum. */
  COMMIT_BEFORE_QUORUM,
  /** A restarted process votes with the slot of its previous incarnation. */
  SKIP_INCARNATION_RULE,
  /** A node activates a state as soon as it holds it. */
  ACTIVATE_UNCOMMITTED,
  /** A node activates an older version than its active one. */
  ACCEPT_OLDER_VERSION
}
