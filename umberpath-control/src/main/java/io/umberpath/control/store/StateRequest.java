package io.umberpath.control.store;

/**
 * What a node that is behind holds, and asks another one to carry on from.
 *
 * @param after position of its state; {@link StorePosition#NOTHING} to get the whole state
 * @param largestRevision revision, in the era of that position, of the largest item that it holds,
 *     so that it can be sent patches of it; {@link #NO_ITEM} to get that item whole
 */
public record StateRequest(StorePosition after, long largestRevision) {
  /** Revision of no item. */
  public static final long NO_ITEM = -1;

  /** Asks for the whole state. */
  public static final StateRequest WHOLE = new StateRequest(StorePosition.NOTHING, NO_ITEM);
}
