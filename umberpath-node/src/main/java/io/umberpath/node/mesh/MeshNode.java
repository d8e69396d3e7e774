package io.umberpath.node.mesh;

import io.umberpath.control.membership.SilenceTimeouts;
import io.umberpath.control.store.StoreWatcher;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.traffic.RequestRateLimiter;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import io.umberpath.traffic.quarantine.SuspectRegistry;
import io.umberpath.traffic.routing.LatencyAwareBalancer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * A node that follows an external store: one process on the machine of each backend. {@link #start}
 * is called once; {@link #stop} shuts it down gracefully.
 */
public final class MeshNode {
  /**
   * Time between two ticks, milliseconds. All periodic tasks share one timer, because each wake-up
   * of the process finds cold caches: 20 wake-ups a second instead of 65.
   */
  private static final long TICK_MILLIS = 50;

  /**
   * Gap between two ticks from which on socket events may be as late as the timer, milliseconds.
   */
  private static final long LATE_TICK_MILLIS = 2 * TICK_MILLIS;

  /** Gap between two ticks from which on this process counts as paused, milliseconds. */
  private static final long PROCESS_PAUSE_MILLIS = 1_000;

  private static final int TICKS_PER_SWEEP = 2;
  private static final int TICKS_PER_REPORT_ROUND =
      (int) (SilenceTimeouts.ROUND_MILLIS / TICK_MILLIS);

  /** Delay that batches announcements of changes read from the store, milliseconds. */
  static final long ANNOUNCE_DELAY_MILLIS = 50;

  /** Backend crashes during a request that quarantine it: the fewest that identify it alone. */
  static final int CRASHES_TO_QUARANTINE = 3;

  /**
   * How long a node counts as ready that knows of a newer state than the one in force, whether it
   * holds that state or another node does, milliseconds: several attempts to apply or to pull it.
   */
  private static final long MAX_OUTDATED_MILLIS = 10_000;

  private static final long SECOND_MILLIS = 1_000;
  private static final int TICKS_PER_SECOND = (int) (SECOND_MILLIS / TICK_MILLIS);
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int NOT_FOUND = 404;
  private static final String METRICS_PATH = "/metrics";
  private static final String QUARANTINE_PATH = "/quarantine";
  private static final String LEFT_OUT_PATH = "/left-out";
  private static final double MICROS_PER_SECOND = 1_000_000;

  private final MeshSettings settings;
  private final MeshEvents events;
  private final LongSupplier clockMillis;
  private final MeshState state;
  private final ConfigurationWarmUp warmUp;
  private final StoreFollower follower;
  private final StatePuller puller;
  private final LatencyAwareBalancer balancer;
  private final RequestQuarantine quarantine;
  private final PeerExchange peers;
  private final LocalBackendNotices localNotices;
  private final LocalBackend backend;
  private final MeshProxy proxy;
  private final RouteSummaryLog routeSummaries;
  private final LivenessAttester attester;
  private final LeftOutBackends leftOut;
  private final MeshMetrics metrics = new MeshMetrics();
  private final String readyPath;
  private final List<StateServer> stateServers = new ArrayList<>();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(MeshTask.TIMER::newThread);
  private final AtomicBoolean isAnnouncementScheduled = new AtomicBoolean();
  private final EncodedTransferCache transferCache = new EncodedTransferCache();
  // Timer tasks, created once. Creating them for each tick allocated 120 objects a second, slowly
  // until that code was compiled.
  private final Runnable detectPause = this::detectPause;
  private final Runnable enforceDeadlines = this::enforceDeadlines;
  private final Runnable shareSuspects = this::shareSuspects;
  private final Runnable sweep = this::sweep;
  private final Runnable reportToPeers = this::reportToPeers;
  private final Runnable runEverySecond = this::runEverySecond;
  private final Runnable writeRouteSummaries = this::writeRouteSummaries;
  private long ticks;
  private long lastTickMillis;
  private boolean isTickLate;
  private volatile boolean isStopping;
  private volatile boolean isBackendDraining;

  /**
   * Creates a node that is not listening yet.
   *
   * @param readyPath path of the readiness endpoint
   * @param clockMillis monotonic clock, milliseconds, that also counts time in which the machine is
   *     suspended
   */
  public MeshNode(
      MeshSettings settings,
      StoreClient client,
      StoreItemParser parser,
      String readyPath,
      MeshEvents events,
      LongSupplier clockMillis) {
    this.clockMillis = clockMillis;
    this.settings = settings;
    this.events = events;
    this.readyPath = readyPath;
    StoreWatcher watcher =
        new StoreWatcher(
            parser.prefix(),
            StoreWatchTimings.PROMPT,
            () -> ThreadLocalRandom.current().nextDouble());
    this.state = new MeshState(parser, watcher, events, clockMillis);
    this.warmUp = new ConfigurationWarmUp(parser, state::view, events);
    this.follower = new StoreFollower(state, client, events, clockMillis);
    this.puller = new StatePuller(settings, state, follower::isReading, events, clockMillis);
    this.balancer =
        new LatencyAwareBalancer(settings.zone(), () -> ThreadLocalRandom.current().nextDouble());
    this.quarantine =
        new RequestQuarantine(
            new SuspectRegistry(CRASHES_TO_QUARANTINE),
            this::isElectedToRetry,
            events,
            clockMillis);
    this.peers =
        new PeerExchange(
            settings, state::view, this::storeContact, balancer, quarantine, events, clockMillis);
    LocalBackendSpeed speed = new LocalBackendSpeed(parser::parseStatement, events, clockMillis);
    NoticeParser noticeParser = new NoticeParser(settings.headers(), parser, events);
    this.localNotices = new LocalBackendNotices(peers.notices(), events, clockMillis);
    this.backend =
        new LocalBackend(
            settings,
            state::view,
            this::isAttested,
            speed,
            noticeParser,
            localNotices,
            clockMillis);
    this.proxy =
        new MeshProxy(
            settings, state::view, balancer, peers, backend, events, metrics, clockMillis);
    this.routeSummaries = proxy.createRouteSummaryLog(events, clockMillis);
    this.attester =
        new LivenessAttester(
            settings, state::view, this::storeContact, proxy.backendPool(), events, clockMillis);
    this.leftOut = new LeftOutBackends(balancer, events, clockMillis);
  }

  /** Updates which ready backends this node leaves out. */
  private void updateLeftOut() {
    BackendDirectory directory = state.view().backends();
    List<BackendEntry> ready =
        directory.all().stream()
            .filter(entry -> entry.state() == BackendEntry.State.READY)
            .filter(entry -> !directory.isEvacuated(entry.zone()))
            .toList();
    leftOut.update(ready, peers.unavailableBackends(ready));
  }

  /** Contact with the store: this node's own while it calls the store, else that of its zone. */
  private StoreContact storeContact() {
    StoreContact ownContact = follower.contact();
    return follower.isReading() ? ownContact : peers.zoneStoreContact().orElse(ownContact);
  }

  private boolean isAttested(String instance) {
    return attester.isAttested(instance);
  }

  /** Whether this node is the one that may retry a quarantined request in a round. */
  private boolean isElectedToRetry(RequestFingerprint request, long round) {
    return peers.isResponsibleFor(request.text(), round);
  }

  /**
   * Starts listening and following the store.
   *
   * @throws IOException if an address cannot be bound
   */
  public void start() throws IOException {
    lastTickMillis = clockMillis.getAsLong();
    StoreReadPolicy policy =
        new StoreReadPolicy(settings, state, follower, puller, peers, attester, clockMillis);
    follower.setReadPolicy(policy::decide);
    follower.onChange(this::scheduleAnnouncement);
    follower.start();
    proxy.start();
    proxy.listen(settings.ready(), new StatusFilter(this::readinessPage));
    serveState(settings.exchange());
    if (settings.control().isPresent()) {
      serveState(settings.control().get());
    }
    if (settings.metricsPort() > 0) {
      PeerAddress address = new PeerAddress(settings.ready().host(), settings.metricsPort());
      proxy.listen(address, new StatusFilter(this::metricsPage));
    }
    peers.onNewerState(puller::onNewerState);
    puller.excludeSources(peers::isSilent);
    state.onAdopted(this::announceIfReading);
    peers.start();
    puller.start();
    timer.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    // Deferred, because a starting node serves no requests until it listens and has a state.
    timer.schedule(() -> runGuarded(this::logChangeBudget), SECOND_MILLIS, TimeUnit.MILLISECONDS);
    timer.schedule(() -> runGuarded(warmUp::start), SECOND_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void serveState(PeerAddress address) throws IOException {
    stateServers.add(StateServer.open(address, this::transferFor, events, clockMillis));
  }

  private void logChangeBudget() {
    events.changeBudget(ChangeBudget.longest(), settings.changeBoundMillis());
  }

  private void tick() {
    ticks++;
    runGuarded(detectPause);
    runGuarded(enforceDeadlines);
    runGuarded(shareSuspects);
    runEveryTicks(TICKS_PER_SWEEP, sweep);
    runEveryTicks(TICKS_PER_REPORT_ROUND, reportToPeers);
    runEveryTicks(TICKS_PER_SECOND, runEverySecond);
  }

  /**
   * Closes idle connections after a pause of this process. Meanwhile peers may have closed them or
   * machines on the path dropped their state, so that a request sent on one may be lost, and one
   * that is not idempotent must not be retried.
   */
  private void detectPause() {
    long now = clockMillis.getAsLong();
    long gapMillis = now - lastTickMillis;
    lastTickMillis = now;
    isTickLate = gapMillis >= LATE_TICK_MILLIS;
    if (gapMillis >= PROCESS_PAUSE_MILLIS) {
      events.paused(gapMillis);
      proxy.closeIdleUpstreamConnections();
    }
  }

  private void enforceDeadlines() {
    proxy.enforceDeadlines(isTickLate);
  }

  private void runEveryTicks(int tickCount, Runnable task) {
    if (ticks % tickCount == 0) {
      runGuarded(task);
    }
  }

  /** Keeps exceptions and errors from the timer, which would cancel the periodic task. */
  private void runGuarded(Runnable task) {
    events.runGuarded(MeshTask.TIMER, task);
  }

  private void sweep() {
    state.applyIfDue();
    proxy.runMaintenance(isTickLate);
    if (backend.refresh()) {
      proxy.inboundHandler().admissionQueue().resize(backend.slots());
    }
    if (backend.isEvacuated() || backend.isLeaving()) {
      proxy.inboundHandler().refuseUnacceptedQueued();
    }
  }

  /** Sends the other nodes the requests during which the local backend crashed. */
  private void shareSuspects() {
    proxy.inboundHandler().detectCrash().ifPresent(attester::onBackendEnded);
    peers.sendSuspects();
  }

  private void runEverySecond() {
    if (state.isRefreshOverdue()) {
      // On a thread of its own, since parsing may take long.
      Runnable refresh = () -> state.refresh("retry");
      MeshTask.REFRESH.newThread(() -> events.runGuarded(MeshTask.REFRESH, refresh)).start();
    }
    runGuarded(writeRouteSummaries);
    events.logDroppedLines();
    quarantine.removeExpired();
    runGuarded(this::updateLeftOut);
    proxy.closeIdleConnections();
    synchronized (balancer) {
      balancer.removeExpired(clockMillis.getAsLong());
    }
  }

  private void writeRouteSummaries() {
    routeSummaries.write();
  }

  private void reportToPeers() {
    attester.tick();
    peers.tick(report());
  }

  /** Announces changes of the store to the zone, whose nodes then pull them from this one. */
  private void scheduleAnnouncement() {
    if (isAnnouncementScheduled.compareAndSet(false, true)) {
      timer.schedule(
          () -> runGuarded(this::announceNow), ANNOUNCE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Announces changes pulled from other zones too if this node reads the store for its zone. */
  private void announceIfReading() {
    if (follower.isReading()) {
      scheduleAnnouncement();
    }
  }

  private void announceNow() {
    isAnnouncementScheduled.set(false);
    peers.announce(report());
  }

  private PeerReport report() {
    MeshView view = state.view();
    return new PeerReport(
        backendLoad().reported(),
        isBackendDraining,
        view.version(),
        view.heldPosition(),
        follower.reportedContact(),
        quarantine.digest(),
        isListedInStore(view) ? Optional.empty() : Optional.of(settings.zone()),
        isBackendDraining ? Optional.empty() : attester.attestedEntry());
  }

  private boolean isListedInStore(MeshView view) {
    return !view.backends().atHost(settings.exchange().host()).isEmpty();
  }

  private byte[] transferFor(TransferRequest request) {
    return transferCache.encode(state.transferFor(request));
  }

  private StatusFilter.StatusResponse metricsPage(String path) {
    return switch (path) {
      case METRICS_PATH ->
          new StatusFilter.StatusResponse(
              OK, metrics.scrape(() -> timer.execute(() -> runGuarded(this::startMetrics))));
      case QUARANTINE_PATH -> new StatusFilter.StatusResponse(OK, quarantine.statusPage());
      case LEFT_OUT_PATH -> new StatusFilter.StatusResponse(OK, leftOut.statusPage());
      default -> new StatusFilter.StatusResponse(NOT_FOUND, "");
    };
  }

  private void startMetrics() {
    StateMeters stateMeters =
        new StateMeters(state, puller, stateServers, peers::isReachable, clockMillis);
    Map<String, Supplier<Number>> allGauges = new HashMap<>(gauges());
    allGauges.putAll(stateMeters.gauges());
    allGauges.putAll(MemoryGauges.all());
    Map<String, Supplier<Number>> allCounters = new HashMap<>(counters());
    allCounters.putAll(stateMeters.counters());
    metrics.start(allGauges, allCounters);
  }

  private Map<String, Supplier<Number>> counters() {
    Map<String, Supplier<Number>> counters = new HashMap<>();
    counters.put("gate.rate.limited", () -> localNotices.rateLimiter().refusedCount());
    counters.put("quarantine.refused", quarantine::refusedCount);
    counters.put("configuration.refused", events::refusedConfigurationCount);
    for (MeshTask task : MeshTask.values()) {
      counters.put("task." + task.label() + ".faults", () -> events.faultCount(task));
    }
    return counters;
  }

  private Map<String, Supplier<Number>> gauges() {
    return Map.ofEntries(
        Map.entry("quarantine.suspects", quarantine::suspectCount),
        Map.entry("quarantine.held", quarantine::quarantinedTargetCount),
        Map.entry("backends.left.out", leftOut::count),
        Map.entry("peers.known", peers::nodeCount),
        Map.entry("peers.silent", peers::silentNodeCount),
        Map.entry("gate.running", () -> backendLoad().current().running()),
        Map.entry("gate.queued", () -> backendLoad().current().queued()),
        Map.entry("gate.uploads.active", () -> backendLoad().activeUploads()),
        Map.entry("gate.uploads.queued", () -> backendLoad().queuedUploads()),
        Map.entry("gate.rate.limit", this::announcedRateLimit),
        Map.entry("gate.slots", () -> backendLoad().current().slots()),
        Map.entry("gate.slowness.percent", () -> backendLoad().current().slownessPercent()),
        Map.entry(
            "gate.service.seconds",
            () -> backendLoad().current().serviceMicros() / MICROS_PER_SECOND));
  }

  private LocalBackendLoad backendLoad() {
    return proxy.inboundHandler().backendLoad();
  }

  /** Limit that the local backend announced, requests per second; -1 if there is none. */
  private double announcedRateLimit() {
    RequestRateLimiter limiter = localNotices.rateLimiter();
    return limiter.isLimited() ? limiter.perSecond() : -1;
  }

  private StatusFilter.StatusResponse readinessPage(String path) {
    if (!path.equals(readyPath)) {
      return new StatusFilter.StatusResponse(NOT_FOUND, "");
    }
    boolean isUpToDate =
        state.pendingMillis() < MAX_OUTDATED_MILLIS
            && puller.stuckMillis(peers::isReachable) < MAX_OUTDATED_MILLIS;
    boolean isReady = state.view().isComplete() && isUpToDate && !isStopping;
    return new StatusFilter.StatusResponse(
        isReady ? OK : UNAVAILABLE,
        (isReady ? "ready" : "not ready") + ", configuration " + state.view().version());
  }

  /**
   * Shuts down gracefully: reports not ready, accepts requests until clients have noticed, then
   * finishes those in flight. {@link #close} or the end of the process ends what is left.
   */
  public void stop() throws InterruptedException {
    // First, so that a client that sees this node as not ready gets no persistent connection.
    events.runGuarded(MeshTask.SHUTDOWN, proxy::startDraining);
    isStopping = true;
    new GracefulShutdown(proxy, backend, this::reportBackendDraining, events, clockMillis)
        .run(settings.graceMillis());
    events.runGuarded(MeshTask.SHUTDOWN, routeSummaries::write);
  }

  private void reportBackendDraining() {
    isBackendDraining = true;
    peers.tick(report());
  }

  /** Stops immediately. */
  public void close() {
    timer.shutdownNow();
    follower.close();
    puller.close();
    peers.close();
    stateServers.forEach(StateServer::close);
    proxy.close();
  }

  /** Whether this node has a configuration. */
  public boolean isReady() {
    return state.view().isComplete();
  }

  /** Version of the configuration in force; -1 before the first. */
  public long configurationVersion() {
    return state.view().version();
  }

  /** Number of the listed backends of a service that take new requests. */
  public int readyBackendCount(String service) {
    return state.view().backends().readyBackends(service).size();
  }

  /** Requests in flight at this node, of clients and of other nodes. */
  public int inFlight() {
    return proxy.inFlight();
  }

  /** Open connections to nodes, this node's own listener included. */
  public int openConnectionsToNodes() {
    return proxy.openPeerConnections();
  }

  /** Requests queued at this node for a slot of the local backend. */
  public int queuedRequests() {
    return backendLoad().current().queued();
  }
}
