package io.umberpath.control;

/** Known-wrong behaviours, for proving that a checker of invariants catches them. */
public enum SeededFault {
  /** The leader commits with less than a quorum. */
  COMMIT_BEFORE_QUORUM,
  /** A restarted process votes under the slot of its former incarnation. */
  SKIP_INCARNATION_RULE,
  /** A node activates a state as soon as it holds it. */
  ACTIVATE_UNCOMMITTED,
  /** A node activates an older version than it has active. */
  ACCEPT_OLDER_VERSION
}
