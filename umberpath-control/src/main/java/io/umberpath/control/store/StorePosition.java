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

  /** The later of two. */
  public static StorePosition later(StorePosition first, StorePosition second) {
    return second.isAfter(first) ? second : first;
  }

  @Override
  public String toString() {
    return era + "/" + revision;
  }
}
