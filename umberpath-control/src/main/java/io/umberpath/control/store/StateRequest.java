package io.umberpath.control.store;

/**
 * What a node that is behind holds, and asks another one to carry on from.
 *
 * @param after revision of its state; {@link StoreChanges#FROM_NOTHING} to get the whole state
 * @param largestRevision revision of the largest item that it holds, so that it can be sent patches
 *     of it; {@link StoreChanges#FROM_NOTHING} to get that item whole
 */
public record StateRequest(long after, long largestRevision) {
  /** Asks for the whole state. */
  public static final StateRequest WHOLE =
      new StateRequest(StoreChanges.FROM_NOTHING, StoreChanges.FROM_NOTHING);
}
