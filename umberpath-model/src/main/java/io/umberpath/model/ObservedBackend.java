package io.umberpath.model;

/**
 * Status of a backend reported by the node beside it; the last writer wins by incarnation, then
 * counter.
 *
 * @param backendId id in the platform document
 * @param incarnation incarnation of the reporting node
 * @param counter increases with each report of that incarnation
 * @param phase whether it accepts work
 * @param load running or queued requests relative to the slots, percent
 */
public record ObservedBackend(
    String backendId, long incarnation, long counter, Phase phase, int load) {
  /** Lifecycle phase of a backend as seen by its node. */
  public enum Phase {
    /** Started, not yet at full speed. */
    WARMING,
    /** Accepts work. */
    READY,
    /** Leaving: accepts no new work, finishes what it has. */
    DRAINING,
    /** Does not respond. */
    DOWN
  }

  /** Whether this report replaces the other. */
  public boolean supersedes(ObservedBackend other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : counter > other.counter;
  }
}
