package io.umberpath.traffic;

import io.umberpath.model.Verdict;

/**
 * Retry budget as a token bucket that requests fill and retries empty; design note 0005. The owner
 * synchronizes access.
 */
final class BudgetedRetryPolicy implements RetryPolicy {
  private static final double ONE_RETRY = 1;

  private final RetrySettings settings;
  private double tokens;

  BudgetedRetryPolicy(RetrySettings settings) {
    this.settings = settings;
    this.tokens = settings.budgetCap();
  }

  @Override
  public void requestStarted(long nowMillis) {
    requestStarted(nowMillis, ChainRetryBudget.atEntry(settings));
  }

  @Override
  public void requestStarted(long nowMillis, ChainRetryBudget chain) {
    if (chain.retriesLeft() > 0) {
      tokens = Math.min(settings.budgetCap(), tokens + settings.budgetRatio());
    }
  }

  @Override
  public boolean mayRetry(long nowMillis, FailedAttempt failed) {
    return mayRetry(nowMillis, failed, ChainRetryBudget.atEntry(settings));
  }

  @Override
  public boolean mayRetry(long nowMillis, FailedAttempt failed, ChainRetryBudget chain) {
    boolean allowed =
        failed.bodyReplayable()
            && canSucceed(failed.verdict())
            && isSafe(failed)
            && failed.attempts() < settings.maxAttempts()
            && chain.retriesLeft() > 0
            && nowMillis + settings.minRemainingMillis() < failed.deadlineMillis();
    if (!allowed || tokens < ONE_RETRY) {
      return false;
    }
    tokens -= ONE_RETRY;
    return true;
  }

  private static boolean isSafe(FailedAttempt failed) {
    return failed.verdict().safeToSendAgain() || failed.repeatable();
  }

  /** Whether another attempt could succeed. */
  private static boolean canSucceed(Verdict verdict) {
    if (verdict instanceof Verdict.NotRun notRun) {
      return isTransient(notRun.reason());
    }
    return verdict instanceof Verdict.MayHaveRun mayHaveRun && isTransient(mayHaveRun.reason());
  }

  private static boolean isTransient(Verdict.Reason reason) {
    return switch (reason) {
      case OVERLOADED,
          REJECTED,
          DRAINING,
          UNREACHABLE,
          NOT_READY,
          UNREADABLE,
          DEADLINE,
          CONNECTION_LOST,
          BAD_ANSWER ->
          true;
      case NO_ROUTE, BAD_REQUEST, TOO_LARGE, NO_BACKEND, CANCELLED, DUPLICATE, INTERNAL -> false;
      default -> throw new IllegalArgumentException("reason " + reason + " is not known");
    };
  }
}
