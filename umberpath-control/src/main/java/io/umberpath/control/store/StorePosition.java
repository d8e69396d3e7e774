package io.umberpath.control.store;

import java.util.Comparator;

/**
 * A place in the order of the store's changes. A store that comes back from an older copy gives its
 * revisions out again and counts its era up: of two revisions of different eras neither is known to
 * be later.
 *
 * @param era how often the store has come back from a copy; {@link #NO_ERA} if it does not say
 * @param revision revision within the era; -1 before anything is known
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
  /** Era of a store that names none. */
  public static final long NO_ERA = 0;

  /** Before the first read. */
  public static final StorePosition NOTHING = new StorePosition(NO_ERA, -1);

  /** Largest revision and era that have a packed form: 10^12 changes, in 4 million eras. */
  public static final long MAX_PACKED_REVISION = (1L << 40) - 1;

  /** See {@link #MAX_PACKED_REVISION}. */
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

  /** Whether anything is known. */
  public boolean isKnown() {
    return revision >= 0;
  }

  /** One number in the same order; a revision without an era is its own. */
  public long packed() {
    return era * (MAX_PACKED_REVISION + 1) + revision;
  }

  /** The position of a packed form. */
  public static StorePosition unpacked(long packed) {
    return new StorePosition(
        packed / (MAX_PACKED_REVISION + 1), packed % (MAX_PACKED_REVISION + 1));
  }

  /** A packed form for people: the revision alone where there is no era. */
  public static String describePacked(long packed) {
    StorePosition position = unpacked(packed);
    return position.era() == NO_ERA ? Long.toString(position.revision()) : position.toString();
  }

  /** The later of two. */
  public static StorePosition later(StorePosition first, StorePosition second) {
    return second.isAfter(first) ? second : first;
  }

  @Override
  public String toString() {
    return era + "/" + revision;
  }
}
