package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.stats.ProxyStats;
import java.util.List;

/**
 * Requests that were read from a connection which ended before their answers were out.
 *
 * @param side the listener
 * @param end why the connection ended
 * @param requestIds ids of those that were begun; empty for one that has none
 * @param sentOn how many of these were offered to an origin
 * @param notBegun how many were read and not begun
 */
public record UnansweredRequests(
    ProxyStats.Side side, ConnectionEnd end, List<String> requestIds, int sentOn, int notBegun) {

  /**
   * Tells them of a connection.
   *
   * @param begun exchanges whose answers are not out
   * @param isHeadUnbegun whether the head of another request has been read
   */
  static UnansweredRequests of(
      ProxyStats.Side side, ConnectionEnd end, List<Exchange> begun, boolean isHeadUnbegun) {
    List<String> ids = begun.stream().map(UnansweredRequests::idOf).toList();
    int sentOn = (int) begun.stream().filter(exchange -> exchange.history().count() > 0).count();
    return new UnansweredRequests(side, end, ids, sentOn, isHeadUnbegun ? 1 : 0);
  }

  private static String idOf(Exchange exchange) {
    RequestPlan plan = exchange.plan();
    return plan == null ? "" : plan.requestId();
  }

  /** Whether there is one. */
  boolean isAny() {
    return !requestIds.isEmpty() || notBegun > 0;
  }
}
