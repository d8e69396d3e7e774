package io.umberpath.traffic;

/**
 * Retry limits of one edge proxy.
 *
 * @param maxAttempts attempts of one request at this proxy including the first, at least 1
 * @param budgetRatio retries added to the budget by each first attempt, 0 to 1
 * @param budgetCap upper bound on the budget in retries, at least 1
 * @param minRemainingMillis time that must be left until the deadline for a retry, milliseconds
 * @param chainRetries retries of one request along its whole chain of calls, 0 to 9
 */
public record RetrySettings(
    int maxAttempts,
    double budgetRatio,
    double budgetCap,
    long minRemainingMillis,
    int chainRetries) {
  /**
   * Defaults: 3 attempts; one retry per 10 requests, at most 10 accumulated; 2 ms must be left; 2
   * retries per chain.
   */
  public static final RetrySettings DEFAULT = new RetrySettings(3, 0.1, 10, 2, 2);

  /** Validates the limits; the error names field and value. */
  public RetrySettings {
    SettingChecks.requireAtLeast("maxAttempts", maxAttempts, 1);
    SettingChecks.requireBetween("budgetRatio", budgetRatio, 0, 1);
    SettingChecks.requireBetween("budgetCap", budgetCap, 1, Integer.MAX_VALUE);
    SettingChecks.requireAtLeast("minRemainingMillis", minRemainingMillis, 0);
    SettingChecks.requireBetween("chainRetries", chainRetries, 0, ChainRetryBudget.MAX_RETRIES);
  }
}
