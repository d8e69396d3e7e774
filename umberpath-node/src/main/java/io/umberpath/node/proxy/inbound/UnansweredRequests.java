package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.stats.ProxyStats;
import java.util.List;

/**
 * The requests of a connection that ended before their responses were written, and the input read
 * behind them.
 *
 * @param side the listener
 * @param end why the connection ended
 * @param requestIds ids of the begun requests; empty string for a request without an id
 * @param sentToOrigin how many of these were sent to an origin
 * @param input input that belongs to no begun request
 */
public record UnansweredRequests(
    ProxyStats.Side side,
    ConnectionEnd end,
    List<String> requestIds,
    int sentToOrigin,
    Input input) {

  /**
   * Input of a connection that belongs to no begun request.
   *
   * @param isHeadUnbegun whether the head of another request had been read
   * @param droppedBytes bytes that arrived after the output had been shut down
   * @param droppedAfterMillis time from the shutdown to the first of these bytes, milliseconds
   * @param peerPort the peer's port
   */
  public record Input(
      boolean isHeadUnbegun, long droppedBytes, long droppedAfterMillis, int peerPort) {}

  /**
   * Collects the unanswered requests of a connection.
   *
   * @param begun exchanges whose responses were not written
   * @param input the remaining input
   */
  static UnansweredRequests of(
      ProxyStats.Side side, ConnectionEnd end, List<Exchange> begun, Input input) {
    List<String> ids = begun.stream().map(UnansweredRequests::idOf).toList();
    int sentToOrigin =
        (int) begun.stream().filter(exchange -> exchange.history().count() > 0).count();
    return new UnansweredRequests(side, end, ids, sentToOrigin, input);
  }

  static String idOf(Exchange exchange) {
    RequestPlan plan = exchange.plan();
    return plan == null ? "" : plan.requestId();
  }

  /** Whether any request, or part of one, was left unanswered. */
  boolean isAny() {
    return !requestIds.isEmpty() || input.isHeadUnbegun() || input.droppedBytes() > 0;
  }
}
