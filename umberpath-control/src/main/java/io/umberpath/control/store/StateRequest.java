package io.umberpath.control.store;

/**
 * Request of a node that is behind for the changes since the state it holds.
 *
 * @param after position of its state; {@link StorePosition#UNKNOWN} to request the full state
 * @param largestRevision revision, in the era of that position, of the largest item that it holds,
 *     so that patches can be sent for it; {@link #NO_ITEM} to get the full item
 */
public record StateRequest(StorePosition after, long largestRevision) {
  /** Marks that no item is held. */
  public static final long NO_ITEM = -1;

  /** Requests the full state. */
  public static final StateRequest WHOLE = new StateRequest(StorePosition.UNKNOWN, NO_ITEM);
}
