package io.umberpath.control.store;

import java.util.Comparator;

/**
 * A position in the order of the store's changes. A store that is restored from an older copy
 * issues the same revisions again and increments its era; revisions of different eras cannot be
 * compared with each other.
 *
 * @param era number of times the store was restored from a copy; {@link #NO_ERA} if it does not
 *     state one
 * @param revision revision within the era; -1 if nothing is known
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
  /** Era of a store that does not state one. */
  public static final long NO_ERA = 0;

  /** Position before the first read. */
  public static final StorePosition UNKNOWN = new StorePosition(NO_ERA, -1);

  /**
   * Largest revision that has a packed form. Together with {@link #MAX_PACKED_ERA}: 10^12 changes
   * in each of 4 million eras.
   */
  public static final long MAX_PACKED_REVISION = (1L << 40) - 1;

  /** Largest era that has a packed form, see {@link #MAX_PACKED_REVISION}. */
  public static final long MAX_PACKED_ERA = (1L << 22) - 1;

  private static final Comparator<StorePosition> ORDER =
      Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

  @Override
  public int compareTo(StorePosition other) {
    return ORDER.compare(this, other);
  }

  /** Whether this is later than another position. */
  public boolean isAfter(StorePosition other) {
    return compareTo(other) > 0;
  }

  /** Whether this is the position of a known state. */
  public boolean isKnown() {
    return revision >= 0;
  }

  /**
   * Encodes the position in one number that preserves the order; without an era this is the
   * revision itself.
   */
  public long packed() {
    return era * (MAX_PACKED_REVISION + 1) + revision;
  }

  /** Decodes a position from its packed form. */
  public static StorePosition unpacked(long packed) {
    return new StorePosition(
        packed / (MAX_PACKED_REVISION + 1), packed % (MAX_PACKED_REVISION + 1));
  }

  /** Formats a packed position for logs: the revision alone if there is no era. */
  public static String describePacked(long packed) {
    StorePosition position = unpacked(packed);
    return position.era() == NO_ERA ? Long.toString(position.revision()) : position.toString();
  }

  /** The later of two positions. */
  public static StorePosition later(StorePosition first, StorePosition second) {
    return second.isAfter(first) ? second : first;
  }

  @Override
  public String toString() {
    return era + "/" + revision;
  }
}
