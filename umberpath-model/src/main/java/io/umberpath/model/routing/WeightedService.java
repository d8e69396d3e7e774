package io.umberpath.model.routing;

/**
 * One weighted target of a route.
 *
 * @param service name of the service
 * @param weight its share relative to the other targets, finite, at least 0
 */
public record WeightedService(String service, double weight) {}
