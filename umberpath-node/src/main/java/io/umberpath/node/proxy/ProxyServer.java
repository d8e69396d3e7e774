package io.umberpath.node.proxy;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Tier;
import io.umberpath.node.control.ControlService;
import io.umberpath.node.proxy.backend.BackendMonitor;
import io.umberpath.node.proxy.backend.BackendStatus;
import io.umberpath.node.proxy.inbound.ActiveExchanges;
import io.umberpath.node.proxy.inbound.ConnectionDrain;
import io.umberpath.node.proxy.inbound.ConnectionLog;
import io.umberpath.node.proxy.inbound.ExchangeEnvironment;
import io.umberpath.node.proxy.inbound.InboundFilter;
import io.umberpath.node.proxy.loop.EventLoop;
import io.umberpath.node.proxy.origin.AttemptLog;
import io.umberpath.node.proxy.origin.OriginConnectionPools;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.proxy.stats.ProxyStats;
import io.umberpath.node.settings.NodeSettings;
import io.umberpath.traffic.AdmissionControllers;
import io.umberpath.traffic.AdmissionSettings;
import io.umberpath.traffic.BalancerSettings;
import io.umberpath.traffic.LoadBalancers;
import io.umberpath.traffic.RetryPolicies;
import io.umberpath.traffic.RetrySettings;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The request path of a node. The edge port accepts requests of clients and forwards each to the
 * node beside a backend; the hop port accepts requests of other nodes and forwards them to the
 * backend beside this node. Thread-safe; {@link #start} must be called once.
 */
public final class ProxyServer implements AutoCloseable {
  private static final int NO_PORT = -1;
  private static final long DEADLINE_TICK_MILLIS = 10;
  private static final long BACKEND_STATE_TICK_MILLIS = 50;
  private static final long IDLE_CHECK_MILLIS = 1_000;
  private static final long IDLE_ORIGIN_MILLIS = 30_000;
  private static final long IDLE_CLIENT_MILLIS = 60_000;
  private static final long LINGER_MILLIS = 2_000;

  private static final long DRAIN_QUIET_MILLIS = 200;
  private static final int MAX_DRAIN_ROUNDS = 10;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final NodeSettings.Proxy settings;
  private final LongSupplier clockMillis;
  private final ProxyTransport transport;
  private final OriginConnectionPools originPools;
  private final ActiveExchanges activeExchanges = new ActiveExchanges();
  private final ExchangeEnvironment environment;
  private final EdgeHandler edge;
  private final Optional<HopHandler> hop;
  private final Optional<ConnectionPool> backendPool;
  private final Optional<BackendMonitor> monitor;
  private final ScheduledExecutorService timer;
  private final List<Listener> listeners = new ArrayList<>();
  private final List<InboundFilter> filters = new ArrayList<>();
  private int edgePort = NO_PORT;
  private int hopPort = NO_PORT;

  /**
   * Creates a proxy that is not listening yet.
   *
   * @param zone zone of this node, for locality-aware load balancing
   */
  public ProxyServer(
      NodeSettings.Proxy settings, String zone, ControlService control, ProxyStats stats) {
    this(settings, zone, control, stats, () -> System.nanoTime() / NANOS_PER_MILLI);
  }

  /** Creates a proxy on a given monotonic clock, milliseconds. */
  ProxyServer(
      NodeSettings.Proxy settings,
      String zone,
      ControlService control,
      ProxyStats stats,
      LongSupplier clockMillis) {
    this.settings = settings;
    this.clockMillis = clockMillis;
    this.transport = new ProxyTransport(settings.maxHeaderBytes(), ConnectionPool::returnToPool);
    this.originPools = new OriginConnectionPools(transport, clockMillis);
    this.environment =
        new ExchangeEnvironment(
            clockMillis,
            stats,
            new AttemptLog(),
            ConnectionLog.NONE,
            activeExchanges,
            settings::maxBodyBytes);
    this.edge =
        new EdgeHandler(
            control,
            originPools,
            LoadBalancers.create(BalancerSettings.of(UUID.randomUUID().toString(), zone)),
            RetryPolicies.createPerTier(RetrySettings.DEFAULT),
            clockMillis);
    this.backendPool = settings.backend().map(this::createPool);
    BackendStatus status = new BackendStatus();
    this.hop = settings.backend().map(backend -> createHopHandler(backend, status));
    this.monitor = settings.backend().map(backend -> createMonitor(backend, control, status));
    this.timer =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "umberpath-proxy-timer");
              thread.setDaemon(true);
              return thread;
            });
  }

  private ConnectionPool createPool(NodeSettings.Backend backend) {
    PeerAddress address = HopHandler.addressOf(backend);
    return new ConnectionPool(address, transport, backend.connections(), clockMillis);
  }

  private BackendMonitor createMonitor(
      NodeSettings.Backend backend, ControlService control, BackendStatus status) {
    return new BackendMonitor(
        backend,
        backendPool.orElseThrow(),
        control,
        status,
        hop.orElseThrow()::loadPercent,
        clockMillis);
  }

  private HopHandler createHopHandler(NodeSettings.Backend backend, BackendStatus status) {
    return new HopHandler(
        backend,
        backendPool.orElseThrow(),
        AdmissionControllers.create(admissionSettings(backend)),
        status,
        clockMillis);
  }

  private AdmissionSettings admissionSettings(NodeSettings.Backend backend) {
    AdmissionSettings defaults = AdmissionSettings.forSlots(backend.slots());
    return new AdmissionSettings(
        backend.slots(),
        Math.max(settings.queuePerBackend(), Tier.values().length),
        defaults.starvationBound(),
        defaults.initialServiceMicros(),
        defaults.minRetryAfterMillis(),
        defaults.maxRetryAfterMillis());
  }

  /**
   * Opens the listeners and starts the timers.
   *
   * @throws IOException if a port cannot be bound
   */
  public void start() throws IOException {
    transport.start();
    if (settings.edgePort() != NO_PORT) {
      edgePort = listen(settings.edgePort(), new InboundFilter(edge, environment));
    }
    if (settings.hopPort() != NO_PORT && hop.isPresent()) {
      hopPort = listen(settings.hopPort(), new InboundFilter(hop.get(), environment));
    }
    scheduleEvery(DEADLINE_TICK_MILLIS, this::expireRequests);
    scheduleEvery(BACKEND_STATE_TICK_MILLIS, this::updateBackendState);
    scheduleEvery(IDLE_CHECK_MILLIS, this::expireConnections);
  }

  private int listen(int port, InboundFilter filter) throws IOException {
    Listener listener = transport.listen(settings.host(), port, filter);
    listeners.add(listener);
    filters.add(filter);
    return listener.port();
  }

  private void scheduleEvery(long millis, Runnable task) {
    // A task that throws would not be scheduled again, and deadlines would no longer be enforced.
    Runnable guarded = () -> EventLoop.runGuarded(task, "proxy timer task failed");
    timer.scheduleWithFixedDelay(guarded, millis, millis, TimeUnit.MILLISECONDS);
  }

  private void expireRequests() {
    if (activeExchanges.size() == 0) {
      return;
    }
    long now = clockMillis.getAsLong();
    activeExchanges.expire(now);
    hop.ifPresent(handler -> handler.tick(now));
  }

  private void updateBackendState() {
    monitor.ifPresent(BackendMonitor::tick);
    edge.updateObserved(clockMillis.getAsLong());
  }

  private void expireConnections() {
    originPools.expire(IDLE_ORIGIN_MILLIS);
    backendPool.ifPresent(pool -> pool.expire(IDLE_ORIGIN_MILLIS));
    filters.forEach(filter -> filter.expire(IDLE_CLIENT_MILLIS, LINGER_MILLIS));
  }

  /** Port for clients, or -1. */
  public int edgePort() {
    return edgePort;
  }

  /** Port for other nodes, or -1. */
  public int hopPort() {
    return hopPort;
  }

  /**
   * Refuses new requests as not run and waits for those in flight. Once none has been in flight,
   * and no new one has arrived, for a short time, it closes the listeners and connections.
   *
   * @param timeout longest wait; requests still in flight then are aborted and logged
   * @return whether every request finished
   */
  public boolean drain(Duration timeout) throws InterruptedException {
    edge.drain();
    hop.ifPresent(HopHandler::drain);
    long endNanos = System.nanoTime() + timeout.toNanos();
    for (int round = 0; round < MAX_DRAIN_ROUNDS; round++) {
      long arrivals = activeExchanges.arrivals();
      if (!activeExchanges.awaitNone((endNanos - System.nanoTime()) / NANOS_PER_MILLI)) {
        activeExchanges.abortAll();
        return false;
      }
      Thread.sleep(DRAIN_QUIET_MILLIS);
      if (activeExchanges.arrivals() == arrivals) {
        break;
      }
    }
    listeners.forEach(Listener::closeWhenEmpty);
    long remainingMillis = (endNanos - System.nanoTime()) / NANOS_PER_MILLI;
    new ConnectionDrain(filters, clockMillis).run(clockMillis.getAsLong() + remainingMillis);
    return true;
  }

  /** Stops at once; call {@link #drain} first to finish the requests in flight. */
  @Override
  public void close() {
    timer.shutdownNow();
    try {
      transport.stop();
    } catch (IOException error) {
      throw new java.io.UncheckedIOException("proxy transport did not stop", error);
    }
  }
}
