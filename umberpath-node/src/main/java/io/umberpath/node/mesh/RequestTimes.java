package io.umberpath.node.mesh;

/**
 * Computes the time limits of a request from its route and its client's timeout, relative to now in
 * milliseconds.
 */
final class RequestTimes {
  /** Requests up to this priority value go before all others, whatever their target latency. */
  private static final int MAX_URGENT_PRIORITY = 1;

  /** Share of the target latency after which an urgent request is due. */
  private static final double URGENT_DUE_SHARE = 0.1;

  /** For other requests: due time per priority value, as a share of the target latency. */
  private static final double DUE_SHARE_PER_PRIORITY = 0.5;

  /**
   * Added for client retries, as a share of the target latency: they can no longer meet the target
   * of the client's first attempt.
   */
  private static final double CLIENT_RETRY_DUE_SHARE = 1;

  /**
   * Share of the target latency by which the backend has to be done; the rest is for the way back.
   */
  private static final double WORK_SHARE_OF_TARGET = 0.92;

  /** Share of the target latency within which a refusal still helps the client. */
  private static final double REFUSAL_SHARE_OF_TARGET = 0.22;

  /** Share of the client's timeout that its request may wait for a slot. */
  private static final double WAIT_SHARE_OF_TIMEOUT = 0.45;

  /** Longest due time; keeps sums of a very low priority and a long target from overflowing. */
  private static final double MAX_DUE_MILLIS = Integer.MAX_VALUE;

  private RequestTimes() {}

  /**
   * Returns the time until a request is due: the shorter its target latency and the higher its
   * priority, the sooner.
   */
  static long dueInMillis(MeshOutboundPlan plan, long nowMillis) {
    int priority = plan.rule().priority();
    double dueShare =
        priority <= MAX_URGENT_PRIORITY ? URGENT_DUE_SHARE : priority * DUE_SHARE_PER_PRIORITY;
    double clientRetryShare = plan.isClientRetry() ? CLIENT_RETRY_DUE_SHARE : 0;
    double dueMillis = plan.rule().targetLatencyMillis() * (dueShare + clientRetryShare);
    return plan.arrivedMillis() + Math.round(Math.min(dueMillis, MAX_DUE_MILLIS)) - nowMillis;
  }

  /**
   * Returns the time until the backend has to be done for the client to get its response in time.
   */
  static long targetInMillis(MeshOutboundPlan plan, long nowMillis) {
    long workMillis = Math.round(plan.rule().targetLatencyMillis() * WORK_SHARE_OF_TARGET);
    return plan.arrivedMillis() + workMillis - nowMillis;
  }

  /** Returns the time within which a refusal is early enough for the client to retry. */
  static long refuseWithinMillis(MeshOutboundPlan plan, long nowMillis) {
    long refusalMillis = Math.round(plan.rule().targetLatencyMillis() * REFUSAL_SHARE_OF_TARGET);
    return plan.arrivedMillis() + refusalMillis - nowMillis;
  }

  /**
   * Returns the time after which a request that has not started is refused, early enough for the
   * client to retry.
   */
  static long startWithinMillis(MeshOutboundPlan plan, long nowMillis) {
    long maxWaitMillis =
        Math.round((plan.deadlineMillis() - plan.arrivedMillis()) * WAIT_SHARE_OF_TIMEOUT);
    return plan.arrivedMillis() + maxWaitMillis - nowMillis;
  }
}
