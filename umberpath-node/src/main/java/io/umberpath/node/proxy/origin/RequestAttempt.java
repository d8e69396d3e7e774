package io.umberpath.node.proxy.origin;

import io.umberpath.model.Verdict;

/**
 * One attempt to have a request served.
 *
 * @param requestId names the request
 * @param number from 1
 * @param route the request's route
 * @param origin where it was sent
 * @param verdict how it ended
 * @param requestBytes body bytes received from the caller so far
 * @param durationMicros time it took
 */
public record RequestAttempt(
    String requestId,
    int number,
    String route,
    String origin,
    Verdict verdict,
    long requestBytes,
    long durationMicros) {}
