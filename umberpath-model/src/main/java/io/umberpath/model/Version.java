package io.umberpath.model;

import java.util.Comparator;

/**
 * Position of an agreed fleet state, ordered by epoch and then sequence.
 *
 * @param epoch leadership term in which the state was proposed; 0 before the first leader
 * @param sequence position in the whole history; increases by one with each proposal, also across
 *     epochs
 */
public record Version(long epoch, long sequence) implements Comparable<Version> {
  /** Version of a fleet that has not agreed on anything. */
  public static final Version NONE = new Version(0, 0);

  private static final Comparator<Version> ORDER =
      Comparator.comparingLong(Version::epoch).thenComparingLong(Version::sequence);

  @Override
  public int compareTo(Version other) {
    return ORDER.compare(this, other);
  }

  /** Whether this version is strictly newer than the other. */
  public boolean isAfter(Version other) {
    return compareTo(other) > 0;
  }

  /** The next version that a leader of the given epoch proposes after this one. */
  public Version next(long leaderEpoch) {
    return new Version(leaderEpoch, sequence + 1);
  }

  @Override
  public String toString() {
    return epoch + "." + sequence;
  }
}
