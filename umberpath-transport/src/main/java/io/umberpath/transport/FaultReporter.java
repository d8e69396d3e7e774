package io.umberpath.transport;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;

/** Counts every fault and logs some of them. Thread-safe. */
final class FaultReporter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final TransportCounters counters;

  FaultReporter(TransportCounters counters) {
    this.counters = counters;
  }

  /** Reports a fault on a connection or queue of a peer; at most one log line a second. */
  void report(TransportError error, String peer) {
    counters.fault(error.fault());
    logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
        "event=transport-fault cause=%s peer=%s detail=%s",
        error.fault().label(), peer, error.detail());
  }
}
