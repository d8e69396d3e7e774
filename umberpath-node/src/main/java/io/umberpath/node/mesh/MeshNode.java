package io.umberpath.node.mesh;

import io.umberpath.control.membership.SilenceTimes;
import io.umberpath.control.store.StoreWatcher;
import io.umberpath.model.PeerAddress;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import io.umberpath.traffic.quarantine.SuspectLedger;
import io.umberpath.traffic.routing.GateBalancer;
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
 * A node that follows an external store: one process beside each back end. {@link #start} is called
 * once; {@link #stop} ends it in good order.
 */
public final class MeshNode {
  /**
   * Time between two ticks, milliseconds. All that is due regularly rides on one timer, because
   * each wake-up of a process costs its caches: 20 a second in place of 65.
   */
  private static final long TICK_MILLIS = 50;

  /** Gap between two ticks from which on sockets may be as late as the timer, milliseconds. */
  private static final long LATE_TICK_MILLIS = 2 * TICK_MILLIS;

  /** Gap between two ticks from which on this process stood still, milliseconds. */
  private static final long PROCESS_PAUSE_MILLIS = 1_000;

  private static final int TICKS_PER_SWEEP = 2;
  private static final int TICKS_PER_REPORT_ROUND = (int) (SilenceTimes.ROUND_MILLIS / TICK_MILLIS);

  /** Least time between two announcements of what this node took from the store, milliseconds. */
  static final long ANNOUNCE_DELAY_MILLIS = 50;

  /** Ends of back ends under a request from which on it is held: the fewest that single it out. */
  static final int MARKS_TO_HOLD = 3;

  private static final long SECOND_MILLIS = 1_000;
  private static final int TICKS_PER_SECOND = (int) (SECOND_MILLIS / TICK_MILLIS);
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int NOT_FOUND = 404;
  private static final String METRICS_PATH = "/metrics";
  private static final String QUARANTINE_PATH = "/quarantine";
  private static final double MICROS_PER_SECOND = 1_000_000;

  private final MeshSettings settings;
  private final MeshEvents events;
  private final LongSupplier clockMillis;
  private final MeshState state;
  private final ConfigurationWarmUp warmUp;
  private final StoreFollower follower;
  private final StatePuller puller;
  private final GateBalancer balancer;
  private final RequestQuarantine quarantine;
  private final PeerExchange peers;
  private final LocalBackend backend;
  private final MeshProxy proxy;
  private final LivenessAttester attester;
  private final MeshMetrics metrics = new MeshMetrics();
  private final String readyPath;
  private final List<StateServer> stateServers = new ArrayList<>();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(MeshNode::timerThread);
  private final AtomicBoolean isAnnouncementScheduled = new AtomicBoolean();
  private final EncodedTransferCache encodedChanges = new EncodedTransferCache();
  // What the timer runs, made once: 120 objects a second else, and slowly before they are compiled.
  private final Runnable detectPause = this::detectPause;
  private final Runnable enforceDeadlines = this::enforceDeadlines;
  private final Runnable shareSuspects = this::shareSuspects;
  private final Runnable sweep = this::sweep;
  private final Runnable reportToPeers = this::reportToPeers;
  private final Runnable runEverySecond = this::runEverySecond;
  private long ticks;
  private long lastTickMillis;
  private boolean isTickLate;
  private volatile boolean isStopping;
  private volatile boolean isBackendDraining;

  /**
   * Creates a node that is not listening yet.
   *
   * @param readyPath path at which readiness is asked for
   * @param clockMillis rising clock, milliseconds, that also counts time in which the machine is
   *     suspended
   */
  public MeshNode(
      MeshSettings settings,
      StoreClient client,
      StoreDocuments documents,
      String readyPath,
      MeshEvents events,
      LongSupplier clockMillis) {
    this.clockMillis = clockMillis;
    this.settings = settings;
    this.events = events;
    this.readyPath = readyPath;
    StoreWatcher watcher =
        new StoreWatcher(
            documents.prefix(),
            StoreWatchTimings.PROMPT,
            () -> ThreadLocalRandom.current().nextDouble());
    this.state = new MeshState(documents, watcher, events, clockMillis);
    this.warmUp = new ConfigurationWarmUp(documents, state::view, events);
    this.follower = new StoreFollower(state, client, events, clockMillis);
    this.puller = new StatePuller(settings, state, follower::isReading, events, clockMillis);
    this.balancer =
        new GateBalancer(settings.zone(), () -> ThreadLocalRandom.current().nextDouble());
    this.quarantine =
        new RequestQuarantine(
            new SuspectLedger(MARKS_TO_HOLD), this::isElectedToRetry, events, clockMillis);
    this.peers =
        new PeerExchange(
            settings, state::view, this::storeContact, balancer, quarantine, events, clockMillis);
    LocalBackendSpeed speed = new LocalBackendSpeed(documents::statement, events, clockMillis);
    this.backend = new LocalBackend(settings, state::view, this::isAttested, speed, clockMillis);
    this.proxy =
        new MeshProxy(
            settings, state::view, balancer, peers, backend, events, metrics, clockMillis);
    this.attester =
        new LivenessAttester(
            settings, state::view, this::storeContact, proxy.backendPool(), events, clockMillis);
  }

  /** Contact with the store: this node's own, or where it makes no calls, that of its zone. */
  private StoreContact storeContact() {
    StoreContact ownContact = follower.contact();
    return follower.isReading() ? ownContact : peers.zoneStoreContact().orElse(ownContact);
  }

  private boolean isAttested(String instance) {
    return attester.isAttested(instance);
  }

  /** Of the nodes in reach, one may try a request that is held. */
  private boolean isElectedToRetry(RequestFingerprint request) {
    return peers.isResponsibleFor(request.text());
  }

  private static Thread timerThread(Runnable task) {
    Thread thread = new Thread(task, "umberpath-timer");
    thread.setDaemon(true);
    return thread;
  }

  /**
   * Listens and begins to follow the store.
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
    stateServers.add(StateServer.open(settings.exchange(), this::transferFor));
    if (settings.control().isPresent()) {
      stateServers.add(StateServer.open(settings.control().get(), this::transferFor));
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
    // After the first ticks: a start serves nobody until it listens and holds a state.
    timer.schedule(() -> runGuarded(this::logChangeBudget), SECOND_MILLIS, TimeUnit.MILLISECONDS);
    timer.schedule(warmUp::start, SECOND_MILLIS, TimeUnit.MILLISECONDS);
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
   * While this process stood still its peers may have closed connections, or machines on the way
   * forgotten them: what is sent on one may be lost, and must not be sent again if it cannot
   * repeat.
   */
  private void detectPause() {
    long now = clockMillis.getAsLong();
    long gapMillis = now - lastTickMillis;
    lastTickMillis = now;
    isTickLate = gapMillis >= LATE_TICK_MILLIS;
    if (gapMillis >= PROCESS_PAUSE_MILLIS) {
      events.paused(gapMillis);
      proxy.closeIdleOrigins();
    }
  }

  private void enforceDeadlines() {
    proxy.keepDeadlines(isTickLate);
  }

  private void runEveryTicks(int tickCount, Runnable task) {
    if (ticks % tickCount == 0) {
      runGuarded(task);
    }
  }

  /** A task that throws would not be run again. */
  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException fault) {
      events.fault("timer", fault);
    }
  }

  private void sweep() {
    state.applyIfDue();
    proxy.sweep(isTickLate);
    if (backend.refresh()) {
      proxy.gate().gate().resize(backend.slots());
    }
    if (backend.isEvacuated()) {
      proxy.gate().gate().handBackWaiting();
    }
  }

  /** What the back end beside this node ended under is news for all. */
  private void shareSuspects() {
    proxy.gate().lookForCrash().ifPresent(attester::onBackendEnded);
    peers.sendSuspects();
  }

  private void runEverySecond() {
    events.reportDropped();
    quarantine.forget();
    proxy.closeIdle();
    synchronized (balancer) {
      balancer.forget(clockMillis.getAsLong());
    }
  }

  private void reportToPeers() {
    attester.tick();
    peers.tick(report());
  }

  /** The store has changed: the zone hears of it at once, whose nodes take it from here. */
  private void scheduleAnnouncement() {
    if (isAnnouncementScheduled.compareAndSet(false, true)) {
      timer.schedule(
          () -> runGuarded(this::announceNow), ANNOUNCE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Its zone hears from a reader: also of what that one was told of by another zone. */
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
        proxy.gate().load(),
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
    return encodedChanges.encode(state.transferFor(request));
  }

  private StatusFilter.Answer metricsPage(String path) {
    return switch (path) {
      case METRICS_PATH ->
          new StatusFilter.Answer(
              OK, metrics.page(() -> timer.execute(() -> runGuarded(this::startMetrics))));
      case QUARANTINE_PATH -> new StatusFilter.Answer(OK, quarantine.page());
      default -> new StatusFilter.Answer(NOT_FOUND, "");
    };
  }

  private void startMetrics() {
    Map<String, Supplier<Number>> allGauges = new HashMap<>(gauges());
    allGauges.putAll(MemoryGauges.all());
    metrics.begin(allGauges);
  }

  private Map<String, Supplier<Number>> gauges() {
    return Map.ofEntries(
        Map.entry("quarantine.suspects", quarantine::suspects),
        Map.entry("quarantine.held", quarantine::held),
        Map.entry("configuration.version", () -> state.view().version()),
        Map.entry("store.revision", () -> state.view().position().revision()),
        Map.entry("configuration.shown.version", () -> state.storeVersion()),
        Map.entry("store.era", () -> state.view().position().era()),
        Map.entry("store.heard.age.seconds", this::storeAgeSeconds),
        Map.entry("peers.known", peers::nodes),
        Map.entry("peers.silent", peers::silentNodeCount),
        Map.entry("gate.running", () -> proxy.gate().load().running()),
        Map.entry("gate.queued", () -> proxy.gate().load().queued()),
        Map.entry("gate.slots", () -> proxy.gate().load().slots()),
        Map.entry("gate.slowness.percent", () -> proxy.gate().load().slownessPercent()),
        Map.entry(
            "gate.service.seconds", () -> proxy.gate().load().serviceMicros() / MICROS_PER_SECOND));
  }

  private double storeAgeSeconds() {
    long heardAt;
    synchronized (state) {
      heardAt = state.watcher().heardAtMillis();
    }
    return heardAt < 0 ? -1 : (clockMillis.getAsLong() - heardAt) / (double) SECOND_MILLIS;
  }

  private StatusFilter.Answer readinessPage(String path) {
    if (!path.equals(readyPath)) {
      return new StatusFilter.Answer(NOT_FOUND, "");
    }
    boolean isReady = state.view().isComplete() && !isStopping;
    return new StatusFilter.Answer(isReady ? OK : UNAVAILABLE, isReady ? "ready" : "not ready");
  }

  /**
   * Stops in good order: no longer ready, takes what still comes until callers have noticed, then
   * finishes what is in flight. What is left is for {@link #close}, or for the end of the process.
   */
  public void stop() throws InterruptedException {
    // Whoever sees that this node is not ready gets no connection that it may keep from it.
    proxy.leave();
    isStopping = true;
    new PlannedStop(proxy, backend, this::reportBackendDraining, events, clockMillis)
        .run(settings.graceMillis());
  }

  private void reportBackendDraining() {
    isBackendDraining = true;
    peers.tick(report());
  }

  /** Ends at once. */
  public void close() {
    timer.shutdownNow();
    follower.close();
    puller.close();
    peers.close();
    stateServers.forEach(StateServer::close);
    proxy.close();
  }

  /** Whether it holds a configuration. */
  public boolean isReady() {
    return state.view().isComplete();
  }

  /** Version of the configuration in force; -1 before the first. */
  public long configurationVersion() {
    return state.view().version();
  }

  /** Back ends of a service that take new work, as far as this node knows. */
  public int readyBackends(String service) {
    return state.view().backends().ready(service).size();
  }

  /** Requests under way here, of callers and of other nodes. */
  public int inFlight() {
    return proxy.inFlight();
  }

  /** Connections to other nodes, this one's own listener included, that are open. */
  public int openConnectionsToNodes() {
    return proxy.openConnectionsToNodes();
  }

  /** Requests that wait here for a slot of the back end beside. */
  public int waitingRequests() {
    return proxy.gate().load().queued();
  }
}
