package io.umberpath.traffic;

import io.umberpath.model.Verdict;

/** Decides at an edge proxy whether a failed request is retried. The owner synchronizes access. */
public interface RetryPolicy {
  /**
   * An attempt that ended without a response.
   *
   * @param verdict whether it ran, as far as known
   * @param repeatable whether the route allows the request to run more than once
   * @param attempts attempts so far, at least 1
   * @param bodyReplayable whether the whole request body can still be sent again
   * @param deadlineMillis deadline of the client
   */
  record FailedAttempt(
      Verdict verdict,
      boolean repeatable,
      int attempts,
      boolean bodyReplayable,
      long deadlineMillis) {}

  /** Records a request that enters the mesh here; it adds to the retry budget. */
  void requestStarted(long nowMillis);

  /**
   * Records a request; it adds to the retry budget unless it is itself a retry.
   *
   * @param chain budget from its {@value ChainRetryBudget#HEADER} header
   */
  void requestStarted(long nowMillis, ChainRetryBudget chain);

  /** Whether to retry a request that entered the mesh here; takes from the budget if so. */
  boolean mayRetry(long nowMillis, FailedAttempt failed);

  /**
   * Whether to retry a request; takes from the budget if so.
   *
   * @param chain budget of its chain that is left after the refusal and earlier retries here
   */
  boolean mayRetry(long nowMillis, FailedAttempt failed, ChainRetryBudget chain);
}
