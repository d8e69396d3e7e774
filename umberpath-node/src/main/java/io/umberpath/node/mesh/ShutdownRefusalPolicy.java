package io.umberpath.node.mesh;

import java.util.function.LongSupplier;

/**
 * Decides which requests a node refuses late in a graceful shutdown because it might have to cut
 * them off. Requests whose deadline is before the cut-off are accepted, and so are requests that
 * may be nested calls of the local backend, which end with the request that makes them.
 */
final class ShutdownRefusalPolicy {
  /** Policy of a node that is not shutting down. */
  static final ShutdownRefusalPolicy REFUSE_NONE =
      new ShutdownRefusalPolicy(Long.MAX_VALUE, 0, () -> Long.MAX_VALUE);

  /**
   * How much later than the deadline of the backend's request the deadline of its nested call may
   * seem to be, because of the transfer time.
   */
  private static final long NESTED_CALL_SLACK_MILLIS = 500;

  private final long refuseFromMillis;
  private final long cutOffMillis;
  private final LongSupplier latestBackendDeadlineMillis;

  /**
   * Creates a policy.
   *
   * @param refuseFromMillis time from which requests are refused, on the node's clock
   * @param cutOffMillis time at which requests in flight are cut off, on the node's clock
   * @param latestBackendDeadlineMillis latest deadline of the requests running on the local backend
   */
  ShutdownRefusalPolicy(
      long refuseFromMillis, long cutOffMillis, LongSupplier latestBackendDeadlineMillis) {
    this.refuseFromMillis = refuseFromMillis;
    this.cutOffMillis = cutOffMillis;
    this.latestBackendDeadlineMillis = latestBackendDeadlineMillis;
  }

  /**
   * Returns whether a request is refused.
   *
   * @param deadlineMillis time at which the client gives up, on the node's clock
   */
  boolean shouldRefuse(long deadlineMillis, long nowMillis) {
    return nowMillis >= refuseFromMillis
        && deadlineMillis > cutOffMillis
        && deadlineMillis - NESTED_CALL_SLACK_MILLIS > latestBackendDeadlineMillis.getAsLong();
  }
}
