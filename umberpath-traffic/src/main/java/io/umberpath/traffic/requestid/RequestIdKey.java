package io.umberpath.traffic.requestid;

/**
 * A request id in its scope: equal ids of two tenants or pools are two requests.
 *
 * @param pool the pool the request goes to; its registrars keep the id
 * @param tenant tenant of the route
 * @param id value of {@code Idempotency-Key}
 */
public record RequestIdKey(String pool, String tenant, String id) {}
