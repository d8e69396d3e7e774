package io.umberpath.transport;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.MetadataKey;
import java.util.concurrent.TimeUnit;

/** Counts all faults and logs them at a limited rate. Thread-safe. */
final class FaultReporter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final MetadataKey<String> EVENT = MetadataKey.single("event", String.class);
  private static final MetadataKey<String> CAUSE = MetadataKey.single("cause", String.class);
  private static final MetadataKey<String> PEER = MetadataKey.single("peer", String.class);

  private final TransportCounters counters;

  FaultReporter(TransportCounters counters) {
    this.counters = counters;
  }

  /** Counts a fault of a peer's connection or queue and logs at most one line per second. */
  void report(TransportError error, String peer) {
    counters.countFault(error.fault());
    logger
        .atWarning()
        .atMostEvery(1, TimeUnit.SECONDS)
        .with(EVENT, "transport-fault")
        .with(CAUSE, error.fault().label())
        .with(PEER, peer)
        .log("%s", error.detail());
  }
}
