package io.umberpath.node.mesh;

import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.traffic.routing.LatencyAwareBalancer;
import io.umberpath.traffic.routing.RouteAverages;

/** Computes what a request costs on each backend, for load balancing. Thread-safe. */
final class RequestCosts {
  /**
   * Transferred bytes whose cross-zone cost equals a whole request. The cost grows with the square
   * of the bytes: most traffic comes from the few large requests, and small requests hardly matter.
   */
  private static final double CROSS_ZONE_BYTES_PER_REQUEST = 8 * 1024;

  /**
   * Upper limit of the cross-zone cost as a share of a request; well below one half, so that a
   * request which is likely late in its zone leaves it for one where it is likely in time.
   */
  private static final double MAX_CROSS_ZONE_COST = 0.3;

  /** Assumed size of the request and response heads between two nodes, bytes. */
  private static final long HEAD_BYTES = 700;

  /** Assumed body size of a request without a content length, bytes. */
  private static final long DEFAULT_BODY_BYTES = 8 * 1024;

  private final RouteAverages responseBytes = new RouteAverages(1);

  /** Records the response size of a request of the route. */
  void recordResponse(String route, long contentLength) {
    synchronized (responseBytes) {
      responseBytes.add(route, Math.max(0, contentLength));
    }
  }

  /** Returns the target latency of the request and its cross-zone cost. */
  LatencyAwareBalancer.RequestConstraints constraints(
      Exchange exchange, MeshOutboundPlan plan, long nowMillis) {
    RequestHead request = exchange.request();
    long requestBodyBytes = request.isChunked() ? DEFAULT_BODY_BYTES : request.contentLength();
    long bytes = HEAD_BYTES + Math.max(0, requestBodyBytes);
    synchronized (responseBytes) {
      bytes += responseBytes.average(plan.route());
    }
    return new LatencyAwareBalancer.RequestConstraints(
        plan.route(),
        RequestTimes.targetInMillis(plan, nowMillis),
        crossZoneCost(bytes),
        exchange.body().needsContinue());
  }

  /** Returns the cost of transferring that many bytes between zones, as a share of a request. */
  static double crossZoneCost(double bytes) {
    double share = bytes / CROSS_ZONE_BYTES_PER_REQUEST;
    return Math.min(MAX_CROSS_ZONE_COST, share * share);
  }
}
