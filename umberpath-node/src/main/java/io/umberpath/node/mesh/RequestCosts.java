package io.umberpath.node.mesh;

import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.traffic.routing.GateBalancer;
import io.umberpath.traffic.routing.RouteMeans;

/** What a request costs at each back end, for the choice among them. Thread-safe. */
final class RequestCosts {
  /**
   * Bytes to and from another zone that are thought to cost a whole request. The share rises with
   * the square: most bytes are those of the few large requests, small ones hardly count.
   */
  private static final double CROSS_ZONE_BYTES_PER_REQUEST = 8 * 1024;

  /** Most that a request is thought to lose by its bytes: it may still be worth more elsewhere. */
  private static final double MAX_CROSS_ZONE_COST = 0.8;

  /** Heads of request and answer between two nodes, bytes. */
  private static final long HEAD_BYTES = 700;

  /** Body assumed where a request does not state its length, bytes. */
  private static final long DEFAULT_BODY_BYTES = 8 * 1024;

  private final RouteMeans responseBytes = new RouteMeans(1);

  /** A request of the route was answered. */
  void recordResponse(String route, long contentLength) {
    synchronized (responseBytes) {
      responseBytes.add(route, Math.max(0, contentLength));
    }
  }

  /** What the request needs, and what its bytes cost in another zone. */
  GateBalancer.RequestConstraints constraints(
      Exchange exchange, MeshOutboundPlan plan, long nowMillis) {
    RequestHead request = exchange.request();
    long requestBodyBytes = request.isChunked() ? DEFAULT_BODY_BYTES : request.contentLength();
    long bytes = HEAD_BYTES + Math.max(0, requestBodyBytes);
    synchronized (responseBytes) {
      bytes += responseBytes.expected(plan.route());
    }
    double share = bytes / CROSS_ZONE_BYTES_PER_REQUEST;
    double crossZoneCost = Math.min(MAX_CROSS_ZONE_COST, share * share);
    return new GateBalancer.RequestConstraints(
        plan.route(), RequestTimes.targetInMillis(plan, nowMillis), crossZoneCost);
  }
}
