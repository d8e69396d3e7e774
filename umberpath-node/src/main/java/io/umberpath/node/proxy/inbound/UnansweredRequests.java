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
    ProxyStats.Side side, ConnectionEnd end, List<String> requestIds, int sentOn, int notBegun) {}
