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
  private static final long PAUSE_MILLIS = 1_000;

  private static final int TICKS_PER_SWEEP = 2;
  private static final int TICKS_PER_ROUND = (int) (SilenceTimes.ROUND_MILLIS / TICK_MILLIS);

  /** Least time between two announcements of what this node took from the store, milliseconds. */
  static final long ANNOUNCE_MILLIS = 50;

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
  private final AtomicBoolean announced = new AtomicBoolean();
  private final EncodedChanges encodedChanges = new EncodedChanges();
  // What the timer runs, made once: 120 objects a second else, and slowly before they are compiled.
  private final Runnable noticePause = this::noticePause;
  private final Runnable keepDeadlines = this::keepDeadlines;
  private final Runnable shareSuspects = this::shareSuspects;
  private final Runnable sweep = this::sweep;
  private final Runnable tellPeers = this::tellPeers;
  private final Runnable second = this::second;
  private long ticks;
  private long lastTickMillis;
  private boolean isTickLate;
  private volatile boolean leaving;
  private volatile boolean backendLeaving;

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
            documents.prefix(), WatchTimes.PROMPT, () -> ThreadLocalRandom.current().nextDouble());
    this.state = new MeshState(documents, watcher, events, clockMillis);
    this.warmUp = new ConfigurationWarmUp(documents, state::view, events);
    this.follower = new StoreFollower(state, client, events, clockMillis);
    this.puller = new StatePuller(settings, state, follower::isReading, events, clockMillis);
    this.balancer =
        new GateBalancer(settings.zone(), () -> ThreadLocalRandom.current().nextDouble());
    this.quarantine =
        new RequestQuarantine(
            new SuspectLedger(MARKS_TO_HOLD), this::triesAgain, events, clockMillis);
    this.peers =
        new PeerExchange(
            settings, state::view, this::contact, balancer, quarantine, events, clockMillis);
    LocalBackendSpeed speed = new LocalBackendSpeed(documents::statement, events, clockMillis);
    this.backend = new LocalBackend(settings, state::view, this::attests, speed, clockMillis);
    this.proxy =
        new MeshProxy(
            settings, state::view, balancer, peers, backend, events, metrics, clockMillis);
    this.attester =
        new LivenessAttester(
            settings, state::view, this::contact, proxy.backendPool(), events, clockMillis);
  }

  /** Contact with the store: this node's own, or where it makes no calls, that of its zone. */
  private StoreContact contact() {
    StoreContact own = follower.contact();
    return follower.isReading() ? own : peers.zoneContact().orElse(own);
  }

  private boolean attests(String instance) {
    return attester.attests(instance);
  }

  /** Of the nodes in reach, one may try a request that is held. */
  private boolean triesAgain(RequestFingerprint request) {
    return peers.isFirstFor(request.text());
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
    follower.onlyIf(policy::decide);
    follower.onChange(this::announce);
    follower.start();
    proxy.start();
    proxy.listen(settings.ready(), new StatusFilter(this::status));
    stateServers.add(StateServer.open(settings.exchange(), this::transferFor));
    if (settings.control().isPresent()) {
      stateServers.add(StateServer.open(settings.control().get(), this::transferFor));
    }
    if (settings.metricsPort() > 0) {
      PeerAddress address = new PeerAddress(settings.ready().host(), settings.metricsPort());
      proxy.listen(address, new StatusFilter(this::metricsPage));
    }
    peers.onAhead(puller::ahead);
    puller.avoid(peers::isSilent);
    state.onAdopted(this::announceAsReader);
    peers.start();
    puller.start();
    timer.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    // After the first ticks: a start serves nobody until it listens and holds a state.
    timer.schedule(() -> guarded(this::tellBudget), SECOND_MILLIS, TimeUnit.MILLISECONDS);
    timer.schedule(warmUp::start, SECOND_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void tellBudget() {
    events.changeBudget(ChangeBudget.longest(), settings.changeBoundMillis());
  }

  private void tick() {
    ticks++;
    guarded(noticePause);
    guarded(keepDeadlines);
    guarded(shareSuspects);
    everyFew(TICKS_PER_SWEEP, sweep);
    everyFew(TICKS_PER_ROUND, tellPeers);
    everyFew(TICKS_PER_SECOND, second);
  }

  /**
   * While this process stood still its peers may have closed connections, or machines on the way
   * forgotten them: what is sent on one may be lost, and must not be sent again if it cannot
   * repeat.
   */
  private void noticePause() {
    long now = clockMillis.getAsLong();
    long gap = now - lastTickMillis;
    lastTickMillis = now;
    isTickLate = gap >= LATE_TICK_MILLIS;
    if (gap >= PAUSE_MILLIS) {
      events.paused(gap);
      proxy.closeIdleOrigins();
    }
  }

  private void keepDeadlines() {
    proxy.keepDeadlines(isTickLate);
  }

  private void everyFew(int count, Runnable task) {
    if (ticks % count == 0) {
      guarded(task);
    }
  }

  /** A task that throws would not be run again. */
  private void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException fault) {
      events.fault("timer", fault);
    }
  }

  private void sweep() {
    state.settle();
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
    proxy.gate().lookForCrash().ifPresent(attester::ended);
    peers.tellSuspects();
  }

  private void second() {
    events.reportDropped();
    quarantine.forget();
    proxy.closeIdle();
    synchronized (balancer) {
      balancer.forget(clockMillis.getAsLong());
    }
  }

  private void tellPeers() {
    attester.tick();
    peers.tick(report());
  }

  /** The store has changed: the zone hears of it at once, whose nodes take it from here. */
  private void announce() {
    if (announced.compareAndSet(false, true)) {
      timer.schedule(() -> guarded(this::tellZone), ANNOUNCE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Its zone hears from a reader: also of what that one was told of by another zone. */
  private void announceAsReader() {
    if (follower.isReading()) {
      announce();
    }
  }

  private void tellZone() {
    announced.set(false);
    peers.announce(report());
  }

  private PeerReport report() {
    MeshView view = state.view();
    return new PeerReport(
        proxy.gate().load(),
        backendLeaving,
        view.version(),
        view.held(),
        follower.reported(),
        quarantine.digest(),
        isListed(view) ? Optional.empty() : Optional.of(settings.zone()),
        backendLeaving ? Optional.empty() : attester.attested());
  }

  private boolean isListed(MeshView view) {
    return !view.backends().atHost(settings.exchange().host()).isEmpty();
  }

  private byte[] transferFor(TransferRequest request) {
    return encodedChanges.of(state.transferFor(request));
  }

  private StatusFilter.Answer metricsPage(String path) {
    return switch (path) {
      case METRICS_PATH ->
          new StatusFilter.Answer(
              OK, metrics.page(() -> timer.execute(() -> guarded(this::beginMetrics))));
      case QUARANTINE_PATH -> new StatusFilter.Answer(OK, quarantine.page());
      default -> new StatusFilter.Answer(NOT_FOUND, "");
    };
  }

  private void beginMetrics() {
    Map<String, Supplier<Number>> all = new HashMap<>(gauges());
    all.putAll(MemoryGauges.all());
    metrics.begin(all);
  }

  private Map<String, Supplier<Number>> gauges() {
    return Map.ofEntries(
        Map.entry("quarantine.suspects", quarantine::suspects),
        Map.entry("quarantine.held", quarantine::held),
        Map.entry("configuration.version", () -> state.view().version()),
        Map.entry("store.revision", () -> state.view().position().revision()),
        Map.entry("configuration.shown.version", () -> state.shownVersion()),
        Map.entry("store.era", () -> state.view().position().era()),
        Map.entry("store.heard.age.seconds", this::storeAgeSeconds),
        Map.entry("peers.known", peers::nodes),
        Map.entry("peers.silent", peers::silentNodes),
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

  private StatusFilter.Answer status(String path) {
    if (!path.equals(readyPath)) {
      return new StatusFilter.Answer(NOT_FOUND, "");
    }
    boolean ready = state.view().isComplete() && !leaving;
    return new StatusFilter.Answer(ready ? OK : UNAVAILABLE, ready ? "ready" : "not ready");
  }

  /**
   * Stops in good order: no longer ready, takes what still comes until callers have noticed, then
   * finishes what is in flight. What is left is for {@link #close}, or for the end of the process.
   */
  public void stop() throws InterruptedException {
    // Whoever sees that this node is not ready gets no connection that it may keep from it.
    proxy.leave();
    leaving = true;
    new PlannedStop(proxy, backend, this::tellPeersThatBackendLeaves, events, clockMillis)
        .run(settings.graceMillis());
  }

  private void tellPeersThatBackendLeaves() {
    backendLeaving = true;
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
