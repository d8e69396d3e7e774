package io.umberpath.node.mesh;

import io.umberpath.model.routing.RoutingRule;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

/**
 * Decides which requests a node refuses late in a graceful shutdown because it might have to cut
 * them off. Requests whose deadline is before the cut-off are accepted. So are requests that may be
 * nested calls of the local backend, which end with the request that makes them, if those of their
 * route usually end before the cut-off. A call that would be cut off is better refused: the request
 * that makes it fails in any case, and so fails sooner.
 */
final class ShutdownRefusalPolicy {
  /** Policy of a node that is not shutting down. */
  static final ShutdownRefusalPolicy REFUSE_NONE =
      new ShutdownRefusalPolicy(
          Long.MAX_VALUE, Long.MAX_VALUE, () -> Long.MAX_VALUE, new RouteDurations());

  /**
   * How much later than the deadline of the backend's request the deadline of its nested call may
   * seem to be, because of the transfer time.
   */
  private static final long NESTED_CALL_SLACK_MILLIS = 500;

  private final long refuseFromMillis;
  private final long cutOffMillis;
  private final LongSupplier latestBackendDeadlineMillis;
  private final RouteDurations durations;

  /**
   * Creates a policy.
   *
   * @param refuseFromMillis time from which requests are refused, on the node's clock
   * @param cutOffMillis time at which requests in flight are cut off, on the node's clock
   * @param latestBackendDeadlineMillis latest deadline of the requests running on the local backend
   * @param durations how long requests take
   */
  ShutdownRefusalPolicy(
      long refuseFromMillis,
      long cutOffMillis,
      LongSupplier latestBackendDeadlineMillis,
      RouteDurations durations) {
    this.refuseFromMillis = refuseFromMillis;
    this.cutOffMillis = cutOffMillis;
    this.latestBackendDeadlineMillis = latestBackendDeadlineMillis;
    this.durations = durations;
  }

  /**
   * Returns whether a request that has just arrived is refused.
   *
   * @param deadlineMillis time at which the client gives up, on the node's clock
   */
  boolean shouldRefuse(RoutingRule rule, long deadlineMillis, long nowMillis) {
    if (nowMillis < refuseFromMillis || deadlineMillis <= cutOffMillis) {
      return false;
    }
    boolean mayBeNestedCall =
        deadlineMillis - NESTED_CALL_SLACK_MILLIS <= latestBackendDeadlineMillis.getAsLong();
    return !mayBeNestedCall || !isExpectedToEndInTime(rule, nowMillis);
  }

  /**
   * A call of unknown duration is accepted if it may be repeated: refusing it makes the request
   * that waits for it fail in any case.
   */
  private boolean isExpectedToEndInTime(RoutingRule rule, long nowMillis) {
    OptionalLong duration = durations.upperBoundMillis(rule.name());
    return duration.isPresent()
        ? nowMillis + duration.getAsLong() <= cutOffMillis
        : rule.kind().isRepeatable();
  }

  /** Returns whether another attempt for a request that arrived late would be cut off. */
  boolean isTooLate(MeshOutboundPlan plan, long nowMillis) {
    return plan.arrivedMillis() >= refuseFromMillis
        && shouldRefuse(plan.rule(), plan.deadlineMillis(), nowMillis);
  }

  /**
   * Returns the time within which a request has to start at its backend to end before the cut-off,
   * milliseconds; a very long one if it need not, or its duration is not known.
   */
  long startWithinMillis(MeshOutboundPlan plan, long nowMillis) {
    boolean mayBeCutOff =
        plan.arrivedMillis() >= refuseFromMillis && plan.deadlineMillis() > cutOffMillis;
    if (!mayBeCutOff) {
      return Integer.MAX_VALUE;
    }
    OptionalLong duration = durations.upperBoundMillis(plan.route());
    return duration.isPresent()
        ? cutOffMillis - nowMillis - duration.getAsLong()
        : Integer.MAX_VALUE;
  }
}
