package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.origin.AttemptLog;
import io.umberpath.node.proxy.stats.ProxyStats;
import java.util.function.LongSupplier;

/**
 * What every exchange of a proxy shares.
 *
 * @param clockMillis rising clock, milliseconds; deadlines are on it
 * @param stats counters
 * @param attemptLog log of failed attempts
 * @param connectionLog hears of connections that ended with requests unanswered
 * @param active exchanges in flight
 * @param maxBodyBytes largest request body
 */
public record ExchangeEnvironment(
    LongSupplier clockMillis,
    ProxyStats stats,
    AttemptLog attemptLog,
    ConnectionLog connectionLog,
    ActiveExchanges active,
    LongSupplier maxBodyBytes) {
  /** The present time on the clock. */
  long nowMillis() {
    return clockMillis.getAsLong();
  }
}
