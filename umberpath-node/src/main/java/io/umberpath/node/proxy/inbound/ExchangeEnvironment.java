package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.origin.AttemptLog;
import io.umberpath.node.proxy.stats.ProxyStats;
import java.util.function.LongSupplier;

/**
 * Dependencies shared by all exchanges of a proxy.
 *
 * @param clockMillis monotonic clock of all deadlines, milliseconds
 * @param stats counters
 * @param attemptLog log of failed attempts
 * @param connectionLog log of connections that ended with unanswered requests
 * @param active exchanges in flight
 * @param maxBodyBytes largest request body, bytes
 */
public record ExchangeEnvironment(
    LongSupplier clockMillis,
    ProxyStats stats,
    AttemptLog attemptLog,
    ConnectionLog connectionLog,
    ActiveExchanges active,
    LongSupplier maxBodyBytes) {
  long nowMillis() {
    return clockMillis.getAsLong();
  }

  /** Counts an exchange as in flight. */
  void exchangeBegun(Exchange exchange, ProxyStats.Side side) {
    stats.inFlight(side, 1);
    active.add(exchange);
  }

  /** Counts an exchange by its verdict; it is no longer in flight. */
  void exchangeEnded(Exchange exchange, ProxyStats.Side side, Verdict verdict) {
    active.remove(exchange);
    stats.inFlight(side, -1);
    stats.requestEnded(side, verdict, exchange.age().sinceReadMicros());
  }
}
