package io.umberpath.model.routing;

import java.util.List;
import java.util.Map;

/**
 * One complete configuration of an external store. Routes only refer to services that it contains.
 *
 * @param version increases with each configuration
 * @param limits limits on what clients may send
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
