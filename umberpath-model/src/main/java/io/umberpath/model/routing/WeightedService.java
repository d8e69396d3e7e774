package io.umberpath.model.routing;

/**
 * One part of where a route's requests go.
 *
 * @param service name of the service
 * @param weight its share in relation to the other parts, at least 0
 */
public record WeightedService(String service, int weight) {}
