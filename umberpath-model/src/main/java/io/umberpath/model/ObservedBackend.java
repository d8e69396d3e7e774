package io.umberpath.model;

/**
 * What the node beside a back end says of it; last writer wins by incarnation, then counter.
 *
 * @param backendId id in the platform's document
 * @param incarnation incarnation of the node that says so
 * @param counter rises with each statement of that incarnation
 * @param phase whether it takes work
 * @param load requests running or queued over slots, in percent
 */
public record ObservedBackend(
    String backendId, long incarnation, long counter, Phase phase, int load) {
  /** Life of a back end as its node sees it. */
  public enum Phase {
    /** Started, not yet at full speed. */
    WARMING,
    /** Takes work. */
    READY,
    /** Leaving: takes no new work, finishes what it has. */
    DRAINING,
    /** Does not answer. */
    DOWN
  }

  /** Whether this statement replaces the other. */
  public boolean supersedes(ObservedBackend other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : counter > other.counter;
  }
}
