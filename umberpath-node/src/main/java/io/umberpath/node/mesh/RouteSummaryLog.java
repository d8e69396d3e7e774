package io.umberpath.node.mesh;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.MetadataKey;
import io.umberpath.node.proxy.stats.ProxyStats.Side;
import io.umberpath.traffic.routing.BackendLoad;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Logs how the requests of each route ended at this node since the last call. Requests served in
 * time are counted too, so that the log tells the share that is lost.
 */
final class RouteSummaryLog {
  private static final MetadataKey<String> SOURCE = MetadataKey.single("source", String.class);
  private static final MetadataKey<String> ZONE = MetadataKey.single("zone", String.class);
  private static final MetadataKey<String> ROUTE = MetadataKey.single("route", String.class);
  private static final MetadataKey<Long> OVER = number("overMillis");
  private static final MetadataKey<Long> IN_TIME = number("inTime");
  private static final MetadataKey<Long> LATE = number("late");
  private static final MetadataKey<Long> ERRORS = number("errors");
  private static final MetadataKey<Long> REFUSED = number("refused");
  private static final MetadataKey<Long> FAILED = number("failed");
  private static final MetadataKey<Long> ATTEMPTS = number("attempts");
  private static final MetadataKey<Long> RETRIES = number("retries");
  private static final MetadataKey<Long> MEDIAN = number("p50Millis");
  private static final MetadataKey<Long> P99 = number("p99Millis");
  private static final MetadataKey<Long> UNREAD = number("unreadMillis");
  private static final MetadataKey<Long> BACKEND = number("backendMillis");
  private static final MetadataKey<Long> RUNNING = number("running");
  private static final MetadataKey<Long> QUEUED = number("queued");
  private static final MetadataKey<Long> SLOTS = number("slots");
  private static final String MESSAGE = "requests ended";
  private static final double MEDIAN_QUANTILE = 0.5;
  private static final double P99_QUANTILE = 0.99;

  private final MeshEvents events;
  private final String zone;
  private final RouteSummaries edge;
  private final RouteSummaries gate;
  private final Supplier<BackendLoad> load;
  private final LongSupplier clockMillis;
  private long lastMillis;

  /**
   * Creates a log.
   *
   * @param zone zone of this node
   * @param edge requests of clients
   * @param gate requests of other nodes for the local backend
   * @param load load of the local backend
   */
  RouteSummaryLog(
      MeshEvents events,
      String zone,
      RouteSummaries edge,
      RouteSummaries gate,
      Supplier<BackendLoad> load,
      LongSupplier clockMillis) {
    this.events = events;
    this.zone = zone;
    this.edge = edge;
    this.gate = gate;
    this.load = load;
    this.clockMillis = clockMillis;
    this.lastMillis = clockMillis.getAsLong();
  }

  private static MetadataKey<Long> number(String name) {
    return MetadataKey.single(name, Long.class);
  }

  /** Writes a line for each route with requests since the last call. */
  synchronized void write() {
    long now = clockMillis.getAsLong();
    long overMillis = now - lastMillis;
    lastMillis = now;
    edge.drain()
        .forEach((route, summary) -> line(Side.EDGE, route, overMillis, summary).log(MESSAGE));
    Map<String, RouteSummary> atGate = gate.drain();
    if (!atGate.isEmpty()) {
      BackendLoad current = load.get();
      atGate.forEach(
          (route, summary) ->
              line(Side.HOP, route, overMillis, summary)
                  .with(RUNNING, (long) current.running())
                  .with(QUEUED, (long) current.queued())
                  .with(SLOTS, (long) current.slots())
                  .log(MESSAGE));
    }
  }

  private FluentLogger.Api line(Side side, String route, long overMillis, RouteSummary summary) {
    return events
        .line(MeshEvent.ROUTE_SUMMARY)
        .with(SOURCE, MeshEvents.label(side))
        .with(ZONE, zone)
        .with(ROUTE, route)
        .with(OVER, overMillis)
        .with(MeshEvents.COUNT, summary.count())
        .with(IN_TIME, summary.inTime())
        .with(LATE, summary.late())
        .with(ERRORS, summary.errors())
        .with(REFUSED, summary.refused())
        .with(FAILED, summary.failed())
        .with(MeshEvents.CAUSE, summary.losses())
        .with(ATTEMPTS, summary.attempts())
        .with(RETRIES, summary.retries())
        .with(MEDIAN, summary.durations().quantile(MEDIAN_QUANTILE))
        .with(P99, summary.durations().quantile(P99_QUANTILE))
        .with(MeshEvents.MILLIS, summary.durations().max())
        .with(UNREAD, summary.maxUnreadMillis())
        .with(BACKEND, summary.backendMillis());
  }
}
