package io.umberpath.traffic.quarantine;

/**
 * Records that a backend crashed while it ran a certain request.
 *
 * @param crashId hash that identifies the crash, the same on all nodes
 * @param atMillis when it happened, on the clock of the node that holds the mark
 * @param cleared whether the request has since been found not to be the cause
 */
public record CrashMark(int crashId, long atMillis, boolean cleared) {
  /** Merges two versions of a mark: cleared if either is. */
  CrashMark merge(CrashMark other) {
    return new CrashMark(crashId, Math.min(atMillis, other.atMillis), cleared || other.cleared);
  }

  CrashMark asCleared() {
    return new CrashMark(crashId, atMillis, true);
  }
}
