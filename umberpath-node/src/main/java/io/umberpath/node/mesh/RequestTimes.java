package io.umberpath.node.mesh;

/** The times that a request's route and caller set for it, counted from now, milliseconds. */
final class RequestTimes {
  /** Lowest rank of priority that goes before the others whatever their target latency. */
  private static final int MAX_URGENT_PRIORITY = 1;

  /** Share of the target latency after which an urgent request is due. */
  private static final double URGENT_DUE_SHARE = 0.1;

  /** The same for other requests, for each rank. */
  private static final double DUE_SHARE_PER_PRIORITY = 0.5;

  /** The same, added for one whose caller comes back: it can no longer be in time for its first. */
  private static final double CLIENT_RETRY_DUE_SHARE = 1;

  /** Share of the target latency by which the back end has to be done; the rest is the way back. */
  private static final double WORK_SHARE_OF_TARGET = 0.92;

  /** Share of the target latency within which a refusal still serves the caller. */
  private static final double REFUSAL_SHARE_OF_TARGET = 0.22;

  /** Share of the time a caller gives that its request may wait for a slot. */
  private static final double WAIT_SHARE_OF_TIMEOUT = 0.45;

  private RequestTimes() {}

  /** In how long a request is due: sooner with a short target latency and a high priority. */
  static long dueInMillis(MeshOutboundPlan plan, long nowMillis) {
    int priority = plan.rule().priority();
    double dueShare =
        priority <= MAX_URGENT_PRIORITY ? URGENT_DUE_SHARE : priority * DUE_SHARE_PER_PRIORITY;
    double clientRetryShare = plan.isClientRetry() ? CLIENT_RETRY_DUE_SHARE : 0;
    long dueMillis =
        plan.arrivedMillis()
            + Math.round(plan.rule().targetLatencyMillis() * (dueShare + clientRetryShare));
    return dueMillis - nowMillis;
  }

  /** In how long the back end has to be done for the caller to have its answer in time. */
  static long targetInMillis(MeshOutboundPlan plan, long nowMillis) {
    long workMillis = Math.round(plan.rule().targetLatencyMillis() * WORK_SHARE_OF_TARGET);
    return plan.arrivedMillis() + workMillis - nowMillis;
  }

  /** Until when a refusal is soon enough for the caller to come back. */
  static long refuseWithinMillis(MeshOutboundPlan plan, long nowMillis) {
    long refusalMillis = Math.round(plan.rule().targetLatencyMillis() * REFUSAL_SHARE_OF_TARGET);
    return plan.arrivedMillis() + refusalMillis - nowMillis;
  }

  /** In how long a request that has not begun is given up, while its caller has time to return. */
  static long startWithinMillis(MeshOutboundPlan plan, long nowMillis) {
    long maxWaitMillis =
        Math.round((plan.deadlineMillis() - plan.arrivedMillis()) * WAIT_SHARE_OF_TIMEOUT);
    return plan.arrivedMillis() + maxWaitMillis - nowMillis;
  }
}
