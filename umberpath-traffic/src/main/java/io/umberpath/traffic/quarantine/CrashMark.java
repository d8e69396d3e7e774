package io.umberpath.traffic.quarantine;

/**
 * That a back end ended while it ran a certain request.
 *
 * @param crash names the end of that back end, the same on all nodes
 * @param atMillis when it ended, on the clock of the node that holds the mark
 * @param cleared whether the request has since been found not to be the cause
 */
public record CrashMark(int crash, long atMillis, boolean cleared) {
  /** The same mark as two nodes know it: whoever has cleared it is right. */
  CrashMark merge(CrashMark other) {
    return new CrashMark(crash, Math.min(atMillis, other.atMillis), cleared || other.cleared);
  }

  CrashMark asCleared() {
    return new CrashMark(crash, atMillis, true);
  }
}
