package io.umberpath.node.operator;

import io.grpc.Context;
import io.umberpath.model.Tier;
import io.umberpath.node.settings.NodeSettings;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.Set;

/**
 * Who calls: what a valid token stands for.
 *
 * @param tenant the tenant whose resources it may touch
 * @param tiers tiers the tenant pays for; never empty
 * @param fleetAdmin whether it may see the whole fleet, drain and re-form
 */
public record Principal(String tenant, Set<Tier> tiers, boolean fleetAdmin) {
  /** The principal of the current call; set by {@link TokenAuthenticator}. */
  static final Context.Key<Principal> KEY = Context.key("umberpath-principal");

  /** Copies the set. */
  public Principal {
    tiers = Set.copyOf(tiers);
  }

  static Principal of(NodeSettings.Token token) {
    return new Principal(token.tenant(), EnumSet.copyOf(token.tiers()), token.fleetAdmin());
  }

  /** The highest tier it pays for. */
  Tier highestTier() {
    return tiers.stream().min(Comparator.naturalOrder()).orElse(Tier.BASIC);
  }
}
