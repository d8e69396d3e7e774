package io.umberpath.model.routing;

/**
 * What holds for all back ends of a service.
 *
 * @param name unique name
 * @param healthPath path of the health check, begins with {@code /}
 * @param maxConnections connections a back end takes from all callers together, at least 1
 */
public record ServiceDefinition(String name, String healthPath, int maxConnections) {}
