package io.umberpath.traffic;

import io.umberpath.model.Verdict;

/** Decides at an edge proxy whether a request that failed is sent again. Owner synchronizes. */
public interface RetryPolicy {
  /**
   * An attempt that ended without an answer.
   *
   * @param verdict what is known of whether it ran
   * @param repeatable whether the route lets the request run more than once
   * @param attempts attempts made so far, at least 1
   * @param bodyReplayable whether the whole request body can still be sent again
   * @param deadlineMillis when the caller gives up
   */
  record FailedAttempt(
      Verdict verdict,
      boolean repeatable,
      int attempts,
      boolean bodyReplayable,
      long deadlineMillis) {}

  /** A request that entered the mesh here begins; it earns retry budget. */
  void requestStarted(long nowMillis);

  /**
   * A request begins; it earns retry budget unless it is itself a retry.
   *
   * @param chain what its {@value ChainBudget#HEADER} header said
   */
  void requestStarted(long nowMillis, ChainBudget chain);

  /**
   * Whether to send a request that entered the mesh here again now; takes from the budget if so.
   */
  boolean mayRetry(long nowMillis, FailedAttempt failed);

  /**
   * Whether to send it again now; takes from the budget if so.
   *
   * @param chain what is left of its chain's budget after the refusal and earlier retries here
   */
  boolean mayRetry(long nowMillis, FailedAttempt failed, ChainBudget chain);
}
