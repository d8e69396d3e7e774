package io.umberpath.traffic;

import io.umberpath.model.Tier;
import java.util.EnumMap;
import java.util.Map;

/** Creates retry policies. */
public final class RetryPolicies {
  private RetryPolicies() {}

  /** A policy with a full budget, for one edge proxy. */
  public static RetryPolicy create(RetrySettings settings) {
    return new BudgetedRetryPolicy(settings);
  }

  /**
   * A policy for each tier of one edge proxy. Under overload the refusals of low tiers would empty
   * a budget shared by all, and the highest tier's rare refusals would go unmended.
   */
  public static Map<Tier, RetryPolicy> createPerTier(RetrySettings settings) {
    Map<Tier, RetryPolicy> policies = new EnumMap<>(Tier.class);
    for (Tier tier : Tier.values()) {
      policies.put(tier, create(settings));
    }
    return policies;
  }
}
