package io.umberpath.node.operator;

import io.grpc.Context;
import io.umberpath.model.Tier;
import io.umberpath.node.settings.NodeSettings;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.Set;

/**
 * The authenticated identity of a call.
 *
 * @param tenant the tenant whose resources it may access
 * @param tiers tiers the tenant is entitled to; never empty
 * @param fleetAdmin whether it may view the whole fleet, drain backends and re-form the fleet
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

  /** Returns the highest tier that the tenant is entitled to. */
  Tier highestTier() {
    return tiers.stream().min(Comparator.naturalOrder()).orElse(Tier.BASIC);
  }
}
