package io.umberpath.model.routing;

/**
 * What holds for all back ends of a service.
 *
 * @param name unique name
 * @param healthPath path of the health check, begins with {@code /}
 * @param maxConnections connections a back end takes from all callers together, at least 1
 * @param warmupMillis how long a back end is cold after its start, milliseconds; 0 if it is not
 * @param coldPerSecond requests a second that a cold back end bears; 0 for any number
 */
public record ServiceDefinition(
    String name, String healthPath, int maxConnections, long warmupMillis, double coldPerSecond) {}
