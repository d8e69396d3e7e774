package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.inbound.Exchange;

/**
 * A request that has ended at this node.
 *
 * @param responseStatus status of the backend's response, if the request was completed
 * @param isInTime whether it ended within the target of its route
 * @param isRetry whether it had been sent before: by the client at the edge, to another backend at
 *     the gate
 * @param attempts how often this node sent it
 * @param millis duration since its head arrived
 * @param unreadMillis how long its head may have been unread at most
 * @param backendMicros time since the last attempt was sent, if any
 */
record EndedRequest(
    Verdict verdict,
    int responseStatus,
    boolean isInTime,
    boolean isRetry,
    int attempts,
    long millis,
    long unreadMillis,
    long backendMicros) {
  static EndedRequest of(
      Exchange exchange, Verdict verdict, long millis, long targetMillis, boolean isRetry) {
    return new EndedRequest(
        verdict,
        exchange.responseStatus(),
        millis <= targetMillis,
        isRetry,
        exchange.history().count(),
        millis,
        exchange.age().unreadMillis(),
        exchange.history().sinceSentMicros());
  }
}
