package io.umberpath.model.routing;

/**
 * What a caller may send.
 *
 * @param maxHeaderBytes largest request head
 * @param maxBodyBytes largest request body
 * @param headerTimeoutMillis longest time a request head may take, milliseconds
 * @param idleTimeoutMillis how long a connection may rest between requests, milliseconds
 */
public record RequestLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
