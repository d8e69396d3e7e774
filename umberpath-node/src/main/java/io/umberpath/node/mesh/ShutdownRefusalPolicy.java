package io.umberpath.node.mesh;

import java.util.function.LongSupplier;

/**
 * Which requests a node refuses late in its planned stop, since it might have to cut them off. One
 * that ends before the cut-off by its own deadline is served. So is one that may be a call of the
 * back end beside the node, which ends with the work that makes it.
 */
final class ShutdownRefusalPolicy {
  /** A node that does not stop refuses none. */
  static final ShutdownRefusalPolicy REFUSE_NONE =
      new ShutdownRefusalPolicy(Long.MAX_VALUE, 0, () -> Long.MAX_VALUE);

  /** How much later than its work a call may seem to end, by the time on the way. */
  private static final long NESTED_CALL_SLACK_MILLIS = 500;

  private final long refuseFromMillis;
  private final long cutOffMillis;
  private final LongSupplier latestBackendDeadlineMillis;

  /**
   * Creates one.
   *
   * @param fromMillis when requests begin to be late, on the node's clock
   * @param cutOffMillis when what is in flight is cut off, on the node's clock
   * @param latestWorkDeadlineMillis latest deadline of the requests that the back end works on
   */
  ShutdownRefusalPolicy(
      long refuseFromMillis, long cutOffMillis, LongSupplier latestBackendDeadlineMillis) {
    this.refuseFromMillis = refuseFromMillis;
    this.cutOffMillis = cutOffMillis;
    this.latestBackendDeadlineMillis = latestBackendDeadlineMillis;
  }

  /**
   * Whether a request is refused.
   *
   * @param deadlineMillis when its caller gives up, on the node's clock
   */
  boolean shouldRefuse(long deadlineMillis, long nowMillis) {
    return nowMillis >= refuseFromMillis
        && deadlineMillis > cutOffMillis
        && deadlineMillis - NESTED_CALL_SLACK_MILLIS > latestBackendDeadlineMillis.getAsLong();
  }
}
