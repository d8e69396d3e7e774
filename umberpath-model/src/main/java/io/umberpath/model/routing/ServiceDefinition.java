package io.umberpath.model.routing;

/**
 * Settings of all backends of a service.
 *
 * @param name unique name
 * @param healthPath path of the health check, begins with {@code /}
 * @param maxConnections connections that a backend accepts from all clients together, at least 1
 * @param warmupMillis duration of the warm-up after a start, milliseconds; 0 for none
 * @param coldPerSecond requests a second that a cold backend can take; 0 for no limit
 */
public record ServiceDefinition(
    String name, String healthPath, int maxConnections, long warmupMillis, double coldPerSecond) {}
