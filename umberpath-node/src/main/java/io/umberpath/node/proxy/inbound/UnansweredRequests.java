package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.stats.ProxyStats;
import java.util.List;

/**
 * Requests that were read from a connection which ended before their answers were out, and what was
 * read behind them.
 *
 * @param side the listener
 * @param end why the connection ended
 * @param requestIds ids of those that were begun; empty for one that has none
 * @param sentOn how many of these were offered to an origin
 * @param input what was read and not begun
 */
public record UnansweredRequests(
    ProxyStats.Side side, ConnectionEnd end, List<String> requestIds, int sentOn, Input input) {

  /**
   * What was read from a connection and belongs to no request that was begun.
   *
   * @param isHeadUnbegun whether the head of another request has been read
   * @param droppedBytes bytes that arrived after the end of the output
   * @param droppedAfterMillis time from that end until the first of them were read, milliseconds
   * @param peerPort the port from which they came
   */
  public record Input(
      boolean isHeadUnbegun, long droppedBytes, long droppedAfterMillis, int peerPort) {}

  /**
   * Tells them of a connection.
   *
   * @param begun exchanges whose answers are not out
   * @param input what else was read
   */
  static UnansweredRequests of(
      ProxyStats.Side side, ConnectionEnd end, List<Exchange> begun, Input input) {
    List<String> ids = begun.stream().map(UnansweredRequests::idOf).toList();
    int sentOn = (int) begun.stream().filter(exchange -> exchange.history().count() > 0).count();
    return new UnansweredRequests(side, end, ids, sentOn, input);
  }

  static String idOf(Exchange exchange) {
    RequestPlan plan = exchange.plan();
    return plan == null ? "" : plan.requestId();
  }

  /** Whether there is one. */
  boolean isAny() {
    return !requestIds.isEmpty() || input.isHeadUnbegun() || input.droppedBytes() > 0;
  }
}
