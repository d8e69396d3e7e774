package io.umberpath.node.mesh;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogSite;
import com.google.common.flogger.MetadataKey;
import io.umberpath.control.store.StorePosition;
import io.umberpath.control.store.StoreResponse;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.BackendStart;
import io.umberpath.model.routing.RoutingConfiguration;
import io.umberpath.node.clock.BootClock;
import io.umberpath.node.logs.LogFields;
import io.umberpath.traffic.load.BackendNotice;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import java.io.IOException;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Writes a line for what the node decides and believes, within a bound for each kind of line.
 * Thread-safe; never waits.
 */
public final class MeshEvents {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final MetadataKey<String> BACKEND = MetadataKey.single("backend", String.class);
  private static final MetadataKey<String> SERVICE = MetadataKey.single("service", String.class);
  private static final MetadataKey<String> SOURCE = MetadataKey.single("source", String.class);
  private static final MetadataKey<String> LIMIT = MetadataKey.single("limit", String.class);
  private static final MetadataKey<String> ZONE = MetadataKey.single("zone", String.class);
  static final MetadataKey<String> CAUSE = MetadataKey.single("cause", String.class);
  private static final MetadataKey<String> FINGERPRINT =
      MetadataKey.single("fingerprint", String.class);
  private static final MetadataKey<Long> REVISION = MetadataKey.single("revision", Long.class);
  static final MetadataKey<String> POSITION = MetadataKey.single("position", String.class);
  static final MetadataKey<Long> CONFIGURATION = MetadataKey.single("configuration", Long.class);
  static final MetadataKey<Long> MILLIS = MetadataKey.single("millis", Long.class);
  static final MetadataKey<Long> COUNT = MetadataKey.single("count", Long.class);

  private final LongSupplier clockMillis;
  private final Map<MeshTask, AtomicLong> faultCounts = new EnumMap<>(MeshTask.class);
  private final Map<MeshEvent, LogRateLimiter> rateLimiters = new EnumMap<>(MeshEvent.class);
  private final AtomicLong refusedConfigurations = new AtomicLong();

  /**
   * Creates a log.
   *
   * @param clockMillis monotonic clock, milliseconds
   */
  public MeshEvents(LongSupplier clockMillis) {
    this.clockMillis = clockMillis;
    for (MeshTask task : MeshTask.values()) {
      faultCounts.put(task, new AtomicLong());
    }
    for (MeshEvent event : MeshEvent.values()) {
      rateLimiters.put(event, new LogRateLimiter(event.linesPerSecond()));
    }
  }

  /** Returns the log for request events; it shares this log's rate limits. */
  RequestEvents requests() {
    return new RequestEvents(this);
  }

  /** Returns the log for state transfers between nodes; it shares this log's rate limits. */
  TransferEvents transfers() {
    return new TransferEvents(this);
  }

  FluentLogger.Api line(MeshEvent event) {
    return line(event, tryAcquireLine(event));
  }

  boolean tryAcquireLine(MeshEvent event) {
    return rateLimiters.get(event).tryAcquire(clockMillis.getAsLong());
  }

  static FluentLogger.Api line(MeshEvent event, boolean written) {
    FluentLogger.Api api = written ? logger.atInfo() : logger.atFinest();
    // The event name identifies the origin of a line; a stack walk would cost more than the line
    // itself.
    return api.withInjectedLogSite(LogSite.INVALID).with(LogFields.EVENT, event.label());
  }

  /** Logs how many lines of each kind were dropped since the last call. */
  void logDroppedLines() {
    rateLimiters.forEach(
        (event, rateLimiter) -> {
          long dropped = rateLimiter.drainDropped();
          if (dropped > 0) {
            line(MeshEvent.LINES_DROPPED).with(COUNT, dropped).log("%s", event.label());
          }
        });
  }

  /** Logs the clock used for ages and deadlines. */
  public void clockOpened(BootClock.Source clock) {
    line(MeshEvent.CLOCK_OPENED)
        .with(SOURCE, label(clock))
        .log(
            "%s",
            clock == BootClock.Source.BOOT_TIME
                ? "counts suspended time"
                : "does not count suspended time: ages are too low after a suspension");
  }

  /**
   * Logs that this process did not run for a while: it was paused, or its machine was suspended.
   */
  void paused(long millis) {
    line(MeshEvent.NODE_PAUSED).with(MILLIS, millis).log("idle connections are closed");
  }

  /**
   * Logs that a selector thread was busy for long, so that data received meanwhile is read only
   * now.
   *
   * @param sockets number of sockets served in that iteration
   */
  void readingLate(long millis, int sockets) {
    line(MeshEvent.READING_LATE)
        .with(MILLIS, millis)
        .with(COUNT, (long) sockets)
        .log("sockets served in one iteration");
  }

  /**
   * Logs the longest time that a change may take according to the node's own intervals, and its
   * bound.
   *
   * @param boundMillis 0 if the settings give none
   */
  void changeBudget(ChangeBudget.Path longest, long boundMillis) {
    boolean fits = boundMillis == 0 || ChangeBudget.isWithin(longest, boundMillis);
    line(MeshEvent.CHANGE_BUDGET)
        .with(MILLIS, longest.millis())
        .with(CAUSE, longest.name())
        .log("bound %d ms%s", boundMillis, fits ? "" : ": the reserve is too small");
  }

  /** Logs that the process accepts requests. */
  public void started(MeshSettings settings, long millisSinceStart) {
    line(MeshEvent.NODE_STARTED)
        .with(SERVICE, settings.service())
        .with(LogFields.ADDRESS, settings.outbound().toString())
        .with(MILLIS, millisSinceStart)
        .log("%s", settings.name());
  }

  void stopping(int inFlight) {
    line(MeshEvent.NODE_STOPPING).with(COUNT, (long) inFlight).log("planned stop");
  }

  /**
   * Logs the end of a graceful shutdown.
   *
   * @param cutOff requests that may have run and were cut off
   * @param refused requests refused as not run at the end
   * @param openConnections connections of clients and other nodes still open when the process exits
   * @param unwrittenBytes response bytes not written to a socket
   */
  void stopped(int cutOff, int refused, int openConnections, long unwrittenBytes, long millis) {
    line(MeshEvent.NODE_STOPPED)
        .with(COUNT, (long) cutOff)
        .with(MILLIS, millis)
        .log(
            "requests cut off: %d, refused at the end: %d, connections open: %d,"
                + " bytes not written: %d",
            cutOff, refused, openConnections, unwrittenBytes);
  }

  /** Logs that the settings were reloaded. */
  public void reloaded(String outcome) {
    line(MeshEvent.SETTINGS_RELOADED).log("%s", outcome);
  }

  /** Logs that changed settings were rejected. */
  public void settingsRefused(String problem) {
    line(MeshEvent.SETTINGS_REFUSED).with(CAUSE, problem).log("previous settings stay in force");
  }

  /**
   * Logs a response of the store if it is unusual.
   *
   * @param heldPosition position of this node's state after the response was applied
   */
  void storeCalled(StoreResponse response, StorePosition heldPosition) {
    if (response instanceof StoreResponse.HistoryGone gone) {
      line(MeshEvent.STORE_HISTORY_GONE)
          .with(POSITION, heldPosition.toString())
          .log("the store is in era %d", gone.storeEra());
    }
    if (response instanceof StoreResponse.Page page
        && !page.hasMore()
        && heldPosition.isAfter(page.position())) {
      line(MeshEvent.STORE_READ_DROPPED)
          .with(POSITION, heldPosition.toString())
          .log("the store is at %s", page.position());
    }
    if (response instanceof StoreResponse.Unreadable unreadable) {
      line(MeshEvent.STORE_RESPONSE_UNREADABLE)
          .with(POSITION, heldPosition.toString())
          .with(CAUSE, unreadable.cause())
          .log("reading by pages");
    }
    if (response instanceof StoreResponse.Throttled) {
      line(MeshEvent.STORE_LOST).with(CAUSE, "throttled").log("store");
    }
  }

  void storeLost(String cause) {
    line(MeshEvent.STORE_LOST).with(CAUSE, cause).log("store");
  }

  void storeRegained(long unreachableMillis) {
    line(MeshEvent.STORE_REGAINED).with(MILLIS, unreachableMillis).log("store");
  }

  void configurationTaken(RoutingConfiguration configuration, long revision, String source) {
    line(MeshEvent.CONFIGURATION_TAKEN)
        .with(CONFIGURATION, configuration.version())
        .with(REVISION, revision)
        .with(SOURCE, source)
        .with(COUNT, (long) configuration.rules().size())
        .log("in force");
  }

  /** Logs that the store was restored from an older copy, which this node has read. */
  void storeEraBegan(StorePosition before, StorePosition after, String source, int kept) {
    line(MeshEvent.STORE_ERA)
        .with(POSITION, after.toString())
        .with(SOURCE, source)
        .with(COUNT, (long) kept)
        .log("begins; position before: %s", before);
  }

  /**
   * Logs that no entry missing from the restored copy is kept any more: all are as the store has
   * them.
   */
  void storeEraSettled(StorePosition position, int retained) {
    line(MeshEvent.STORE_ERA)
        .with(POSITION, position.toString())
        .with(COUNT, (long) retained)
        .log("all kept entries released");
  }

  void configurationOlder(long accepted, long shown, long revision, String source) {
    line(MeshEvent.CONFIGURATION_OLDER)
        .with(CONFIGURATION, accepted)
        .with(REVISION, revision)
        .with(SOURCE, source)
        .log("stays in force: the store has version %d", shown);
  }

  /** Number of times a configuration was refused since the start. */
  long refusedConfigurationCount() {
    return refusedConfigurations.get();
  }

  void configurationRefused(long revision, String problem, String source) {
    refusedConfigurations.incrementAndGet();
    line(MeshEvent.CONFIGURATION_REFUSED)
        .with(REVISION, revision)
        .with(SOURCE, source)
        .with(CAUSE, problem)
        .log("the previous configuration stays in force");
  }

  void backendRefused(String key, long revision, String problem) {
    line(MeshEvent.BACKEND_REFUSED)
        .with(BACKEND, key)
        .with(REVISION, revision)
        .with(CAUSE, problem)
        .log("entry ignored");
  }

  /** Logs that the load report of the local backend cannot be parsed. */
  void statementRefused(String problem) {
    line(MeshEvent.STATEMENT_REFUSED).with(CAUSE, problem).log("passed over");
  }

  /**
   * Logs what the local backend now announces.
   *
   * @param source whether its own response or the memory of another node tells
   */
  void backendNotice(BackendStart start, BackendNotice notice, String source) {
    line(MeshEvent.BACKEND_NOTICE)
        .with(BACKEND, start.id())
        .with(SOURCE, source)
        .with(COUNT, notice.order())
        .with(LIMIT, notice.isLimited() ? Double.toString(notice.requestsPerSecond()) : "none")
        .log("%s", notice.isLeaving() ? "leaving" : "in service");
  }

  /** Logs whether the speed reported by the local backend is now trusted. */
  void statementsBelieved(boolean areTrusted, String inputs) {
    line(MeshEvent.STATEMENTS_BELIEVED)
        .with(CAUSE, inputs)
        .log("%s", areTrusted ? "begins" : "ends");
  }

  void backendsChanged(
      BackendDirectory before, BackendDirectory after, StorePosition position, String source) {
    long revision = position.revision();
    for (BackendEntry entry : after.all()) {
      Optional<BackendEntry> old = before.byId(entry.id());
      boolean restarted = old.filter(each -> !each.start().equals(entry.start())).isPresent();
      boolean changed = old.filter(each -> each.state() == entry.state()).isEmpty();
      if (restarted) {
        backend(MeshEvent.BACKEND_RESTARTED, entry)
            .with(REVISION, revision)
            .log(
                "%s: start time %d, before %d",
                source, entry.startTimeMillis(), old.get().startTimeMillis());
      }
      if (changed) {
        boolean ready = entry.state() == BackendEntry.State.READY;
        backend(ready ? MeshEvent.BACKEND_ADDED : MeshEvent.BACKEND_DRAINING, entry)
            .with(REVISION, revision)
            .log("%s", source);
      }
    }
    evacuations(before.evacuatedZones(), after.evacuatedZones(), revision, source);
    for (BackendEntry entry : before.all()) {
      if (after.byId(entry.id()).isEmpty()) {
        backend(MeshEvent.BACKEND_GONE, entry).with(REVISION, revision).log("%s", source);
      }
    }
  }

  private void evacuations(Set<String> before, Set<String> after, long revision, String source) {
    for (String zone : after) {
      if (!before.contains(zone)) {
        evacuation(zone, revision, source).log("begins");
      }
    }
    for (String zone : before) {
      if (!after.contains(zone)) {
        evacuation(zone, revision, source).log("ends");
      }
    }
  }

  private FluentLogger.Api evacuation(String zone, long revision, String source) {
    return line(MeshEvent.ZONE_EVACUATION)
        .with(ZONE, zone)
        .with(REVISION, revision)
        .with(SOURCE, source);
  }

  void attestation(BackendEntry entry, boolean attests) {
    backend(MeshEvent.BACKEND_ATTESTED, entry).log("%s", attests ? "begins" : "ends");
  }

  private FluentLogger.Api backend(MeshEvent event, BackendEntry entry) {
    return line(event)
        .with(BACKEND, entry.id())
        .with(SERVICE, entry.service())
        .with(LogFields.ADDRESS, entry.address().toString());
  }

  void peerSilent(String host) {
    line(MeshEvent.PEER_SILENT).with(LogFields.ADDRESS, host).log("no report");
  }

  void peerHeard(String host) {
    line(MeshEvent.PEER_HEARD).with(LogFields.ADDRESS, host).log("reports again");
  }

  void reportRefused(String sender, IOException malformed) {
    line(MeshEvent.REPORT_REFUSED)
        .with(LogFields.ADDRESS, sender)
        .with(CAUSE, String.valueOf(malformed.getMessage()))
        .log("datagram dropped");
  }

  void reportUnsent(String host, Exception unreachable) {
    line(MeshEvent.REPORT_UNSENT)
        .with(LogFields.ADDRESS, host)
        .with(CAUSE, String.valueOf(unreachable.getMessage()))
        .log("the next round sends again");
  }

  /**
   * Logs that this node starts or stops reading the store.
   *
   * @param inputs the values on which the decision was based
   */
  void storeReader(boolean reads, String inputs) {
    line(MeshEvent.STORE_READER).with(CAUSE, inputs).log("%s", reads ? "begins" : "ends");
  }

  static String label(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Logs a crash of the local backend; one line for each request that it was running. */
  void backendEnded(String backend, RequestFingerprint request, int runningCount) {
    line(MeshEvent.BACKEND_ENDED)
        .with(BACKEND, backend)
        .with(FINGERPRINT, request.text())
        .with(COUNT, (long) runningCount)
        .log("while it ran this request");
  }

  /**
   * Logs that many responses of the local backend fail, or no longer do.
   *
   * @param percent share of its recent responses that failed
   * @param kinds number of recent responses of each kind
   */
  void backendFailing(String backend, boolean isFailing, int percent, String kinds) {
    line(MeshEvent.BACKEND_FAILING)
        .with(BACKEND, backend)
        .with(COUNT, (long) percent)
        .with(CAUSE, kinds)
        .log("%s", isFailing ? "begins" : "ends");
  }

  /**
   * Logs that this node sends a ready backend fewer requests or none, or no longer does.
   *
   * @param millis for how long it has lasted
   */
  void backendLeftOut(String backend, String cause, boolean isLeftOut, long millis) {
    line(MeshEvent.BACKEND_LEFT_OUT)
        .with(BACKEND, backend)
        .with(CAUSE, cause)
        .with(MILLIS, millis)
        .log("%s", isLeftOut ? "begins" : "ends");
  }

  /**
   * Logs that a request is now quarantined, or no longer.
   *
   * @param crashCount crashes attributed to the request
   */
  void requestHeld(RequestFingerprint request, boolean isQuarantined, int crashCount) {
    line(isQuarantined ? MeshEvent.REQUEST_HELD : MeshEvent.REQUEST_CLEARED)
        .with(FINGERPRINT, request.text())
        .with(COUNT, (long) crashCount)
        .log("%s", isQuarantined ? "backends crashed while running it" : "it ran to a good end");
  }

  void requestTrialStarted(RequestFingerprint request) {
    line(MeshEvent.REQUEST_TRIED).with(FINGERPRINT, request.text()).log("once more");
  }

  /** Logs and counts an exception or error that escaped from a task, which continues. */
  void fault(MeshTask task, Throwable fault) {
    faultCounts.get(task).incrementAndGet();
    try {
      line(MeshEvent.FAULT).withCause(fault).log("%s", task.label());
    } catch (RuntimeException | Error unlogged) {
      // For example a second lack of memory; the count remains.
      return;
    }
  }

  /** Logs that the shutdown ended early. */
  public void stopFailed(Throwable fault) {
    fault(MeshTask.SHUTDOWN, fault);
  }

  /** Runs an action; an exception or error in it is logged and counted for the task. */
  void runGuarded(MeshTask task, Runnable action) {
    try {
      action.run();
    } catch (RuntimeException | Error fault) {
      fault(task, fault);
    }
  }

  /** Returns how many exceptions and errors escaped from a task. */
  long faultCount(MeshTask task) {
    return faultCounts.get(task).get();
  }
}
