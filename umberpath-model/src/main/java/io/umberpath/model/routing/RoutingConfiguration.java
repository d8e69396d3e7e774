package io.umberpath.model.routing;

import java.util.List;
import java.util.Map;

/**
 * One whole configuration of an external store. Routes only lead to services it holds.
 *
 * @param version rises with each configuration
 * @param limits what callers may send
 * @param rules the routes
 * @param services the services by name
 */
public record RoutingConfiguration(
    long version,
    RequestLimits limits,
    List<RoutingRule> rules,
    Map<String, ServiceDefinition> services) {
  /** Copies the collections. */
  public RoutingConfiguration {
    rules = List.copyOf(rules);
    services = Map.copyOf(services);
  }
}
