package io.umberpath.traffic;

import io.umberpath.model.Tier;
import java.util.EnumMap;
import java.util.Map;

/** Creates retry policies. */
public final class RetryPolicies {
  private RetryPolicies() {}

  /** Creates a policy with a full budget, for one edge proxy. */
  public static RetryPolicy create(RetrySettings settings) {
    return new BudgetedRetryPolicy(settings);
  }

  /**
   * Creates a policy for each tier of one edge proxy. With a shared budget, refusals of low tiers
   * during an overload would use it up, and the few refusals of the highest tier could not be
   * retried.
   */
  public static Map<Tier, RetryPolicy> createPerTier(RetrySettings settings) {
    Map<Tier, RetryPolicy> policies = new EnumMap<>(Tier.class);
    for (Tier tier : Tier.values()) {
      policies.put(tier, create(settings));
    }
    return policies;
  }
}
