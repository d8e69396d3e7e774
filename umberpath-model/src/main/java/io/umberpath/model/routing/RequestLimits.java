package io.umberpath.model.routing;

/**
 * Limits on what a client may send.
 *
 * @param maxHeaderBytes largest request header
 * @param maxBodyBytes largest request body
 * @param headerTimeoutMillis longest time to receive a request header, milliseconds
 * @param idleTimeoutMillis longest idle time of a connection between requests, milliseconds
 */
public record RequestLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
