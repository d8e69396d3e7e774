package io.umberpath.model.routing;

import java.util.List;

/**
 * Sends requests of one host and path prefix to services.
 *
 * @param name unique name
 * @param host exact host, lower case, without port
 * @param pathPrefix begins and ends with {@code /}; the longest match wins
 * @param kind execution semantics of its requests
 * @param targets the services, at least one with a weight above 0
 * @param timeoutMillis longest time a request is held, milliseconds
 * @param maxAttempts largest number of backends that one request is sent to, at least 1
 * @param targetLatencyMillis time within which a response has its full value, milliseconds
 * @param priority rank under overload; 0 is highest
 */
public record RoutingRule(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    List<WeightedService> targets,
    long timeoutMillis,
    int maxAttempts,
    long targetLatencyMillis,
    int priority) {
  /** Copies the targets. */
  public RoutingRule {
    targets = List.copyOf(targets);
  }

  /** Names of the services that its requests go to. */
  public List<String> services() {
    return targets.stream().map(WeightedService::service).toList();
  }
}
