package io.umberpath.traffic;

/** Creates retry policies. */
public final class RetryPolicies {
  private RetryPolicies() {}

  /** A policy with a full budget, for one edge proxy. */
  public static RetryPolicy create(RetrySettings settings) {
    return new BudgetedRetryPolicy(settings);
  }
}
