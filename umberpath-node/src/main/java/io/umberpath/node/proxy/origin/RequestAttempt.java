package io.umberpath.node.proxy.origin;

import io.umberpath.model.Verdict;

/**
 * One attempt of a request, for the log.
 *
 * @param requestId ID of the request
 * @param number number of the attempt, starting at 1
 * @param route name of the route
 * @param origin address that the attempt was sent to
 * @param verdict outcome of the attempt
 * @param requestBytes body bytes received from the client so far
 * @param durationMicros duration of the attempt, microseconds
 */
public record RequestAttempt(
    String requestId,
    int number,
    String route,
    String origin,
    Verdict verdict,
    long requestBytes,
    long durationMicros) {}
