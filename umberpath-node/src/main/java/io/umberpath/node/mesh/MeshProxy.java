package io.umberpath.node.mesh;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.routing.RequestLimits;
import io.umberpath.node.proxy.Listener;
import io.umberpath.node.proxy.ProxyTransport;
import io.umberpath.node.proxy.inbound.ActiveExchanges;
import io.umberpath.node.proxy.inbound.ConnectionDrain;
import io.umberpath.node.proxy.inbound.ExchangeEnvironment;
import io.umberpath.node.proxy.inbound.InboundFilter;
import io.umberpath.node.proxy.origin.AttemptLog;
import io.umberpath.node.proxy.origin.OriginManager;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.traffic.AdmissionControllers;
import io.umberpath.traffic.AdmissionSettings;
import io.umberpath.traffic.routing.GateBalancer;
import java.io.IOException;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.glassfish.grizzly.filterchain.Filter;

/** The request path: listeners, connections and the two handlers. */
final class MeshProxy implements AutoCloseable {
  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final long DEFAULT_MAX_BODY_BYTES = 64L * 1024 * 1024;
  private static final long DEFAULT_IDLE_MILLIS = 15_000;
  private static final int MAX_BACKEND_CONNECTIONS = 64;
  private static final long CONNECT_TIMEOUT_MILLIS = 300;
  private static final long IDLE_BACKEND_MILLIS = 4_000;
  private static final long IDLE_PEER_MILLIS = 20_000;
  private static final long IDLE_HOP_MILLIS = 60_000;
  private static final long LINGER_MILLIS = 2_000;
  private static final int INITIAL_SERVICE_TIME_MICROS = 50_000;
  private static final int QUEUE_LIMIT = 256;
  private static final int STARVATION_BOUND = 32;
  private static final long MIN_RETRY_AFTER_MILLIS = 30;
  private static final long MAX_RETRY_AFTER_MILLIS = 2_000;

  private final MeshSettings settings;
  private final Supplier<MeshView> view;
  private final ProxyTransport transport;
  private final OriginManager origins;
  private final ConnectionPool backendPool;
  private final ActiveExchanges active = new ActiveExchanges();
  private final MeshOutboundHandler outbound;
  private final MeshInboundHandler inbound;
  private final InboundFilter outboundFilter;
  private final InboundFilter inboundFilter;
  private Listener outboundListener;
  private Listener inboundListener;
  private final LongSupplier clockMillis;
  private final Runnable expireOverdueTask = this::expireOverdue;
  private final Runnable sweepTask = this::sweepNow;

  MeshProxy(
      MeshSettings settings,
      Supplier<MeshView> view,
      GateBalancer balancer,
      PeerExchange peers,
      LocalBackend backend,
      MeshEvents events,
      MeshMetrics metrics,
      LongSupplier clockMillis) {
    this.settings = settings;
    this.view = view;
    this.clockMillis = clockMillis;
    this.transport =
        new ProxyTransport(
            MAX_HEADER_BYTES,
            ConnectionPool::giveBack,
            1,
            new EventLoopDelayListener(metrics, events));
    this.origins = new OriginManager(transport, clockMillis, CONNECT_TIMEOUT_MILLIS);
    this.backendPool =
        new ConnectionPool(
            settings.backend(),
            transport,
            MAX_BACKEND_CONNECTIONS,
            clockMillis,
            CONNECT_TIMEOUT_MILLIS);
    this.inbound =
        new MeshInboundHandler(
            settings,
            backendPool,
            AdmissionControllers.createInDueOrder(admission(backend.slots()), backend.coldStarts()),
            backend,
            peers.quarantine(),
            events,
            clockMillis);
    this.outbound =
        new MeshOutboundHandler(
            settings,
            view,
            origins,
            balancer,
            peers,
            inbound::retriedWorkShare,
            events,
            clockMillis);
    ExchangeEnvironment environment =
        new ExchangeEnvironment(
            clockMillis,
            metrics,
            AttemptLog.CUT_OFF_ONLY,
            events.requests()::connectionEnded,
            active,
            this::maxBodyBytes);
    this.outboundFilter = new InboundFilter(outbound, environment);
    this.inboundFilter = new InboundFilter(inbound, environment);
  }

  private static AdmissionSettings admission(int slots) {
    return new AdmissionSettings(
        slots,
        QUEUE_LIMIT,
        STARVATION_BOUND,
        INITIAL_SERVICE_TIME_MICROS,
        MIN_RETRY_AFTER_MILLIS,
        MAX_RETRY_AFTER_MILLIS);
  }

  private long maxBodyBytes() {
    MeshView current = view.get();
    return current.isComplete()
        ? current.configuration().limits().maxBodyBytes()
        : DEFAULT_MAX_BODY_BYTES;
  }

  /** Opens the listeners. */
  void start() throws IOException {
    transport.start();
    inboundListener = listen(settings.inbound(), inboundFilter);
    outboundListener = listen(settings.outbound(), outboundFilter);
  }

  private Listener listen(PeerAddress address, InboundFilter last) throws IOException {
    return transport.listen(address.host(), address.port(), last);
  }

  /** Opens a further listener. */
  void listen(PeerAddress address, Filter last) throws IOException {
    transport.listen(address.host(), address.port(), last);
  }

  /** Connections to the back end beside this node. */
  ConnectionPool backendPool() {
    return backendPool;
  }

  MeshInboundHandler gate() {
    return inbound;
  }

  /** Requests in flight. */
  int inFlight() {
    return active.size();
  }

  /** Whether the back end beside this node works on a request. */
  boolean isBackendBusy() {
    return inbound.gate().running() > 0;
  }

  /** From now on callers are asked to go elsewhere with their next request. */
  void leave() {
    outbound.startDraining();
  }

  /** Latest deadline of the requests that the back end beside this node works on. */
  private long latestBackendDeadlineMillis() {
    return active
        .plans()
        .filter(MeshInboundPlan.class::isInstance)
        .mapToLong(plan -> ((MeshInboundPlan) plan).latestDeadlineMillis())
        .max()
        .orElse(Long.MIN_VALUE);
  }

  /**
   * Refuses callers' requests as not run from a moment on, but for those that end in time.
   *
   * @param fromMillis the moment, on the clock
   * @param cutOffMillis when what is in flight is cut off, on the clock
   */
  void refuseLateClientRequests(long fromMillis, long cutOffMillis) {
    outbound.setShutdownRefusals(
        new ShutdownRefusalPolicy(fromMillis, cutOffMillis, this::latestBackendDeadlineMillis));
  }

  /** From now on callers' requests are refused as not run. */
  void refuseClientRequests() {
    outbound.refuseRequests();
  }

  /** Accepts no more connections of callers. */
  void closeOutboundListener() {
    outboundListener.closeWhenEmpty();
  }

  /**
   * Accepts no more connections and ends those that are open, each with all its answers.
   *
   * @param endMillis when it returns at the latest, on the clock
   */
  void endConnections(long endMillis) throws InterruptedException {
    inboundListener.closeWhenEmpty();
    closeOutboundListener();
    new ConnectionDrain(List.of(outboundFilter, inboundFilter), clockMillis).run(endMillis);
  }

  /**
   * Ends what is past its deadline.
   *
   * @param isTimerLate whether the caller had no processor for a while
   */
  void keepDeadlines(boolean isTimerLate) {
    if (active.size() > 0 && !transport.checkTimeouts(expireOverdueTask, isTimerLate)) {
      active.expireUnsent(clockMillis.getAsLong());
    }
  }

  private void expireOverdue() {
    long now = clockMillis.getAsLong();
    active.expire(now);
    inbound.tick(now);
  }

  /**
   * Gives up connections that do not open, and looks how fast the back end is.
   *
   * @param isTimerLate whether the caller had no processor for a while
   */
  void sweep(boolean isTimerLate) {
    transport.checkTimeouts(sweepTask, isTimerLate);
  }

  private void sweepNow() {
    inbound.observe();
    backendPool.expire(IDLE_BACKEND_MILLIS);
    origins.giveUpLate();
  }

  /** Closes connections to other nodes and to the back end on which nothing is under way. */
  void closeIdleOrigins() {
    origins.expire(0);
    backendPool.expire(0);
  }

  /** Closes connections of callers and other nodes that have rested for too long. */
  void closeIdle() {
    MeshView current = view.get();
    RequestLimits limits = current.isComplete() ? current.configuration().limits() : null;
    long idleMillis = limits == null ? DEFAULT_IDLE_MILLIS : limits.idleTimeoutMillis();
    origins.expire(IDLE_PEER_MILLIS);
    outboundFilter.expire(idleMillis, LINGER_MILLIS);
    inboundFilter.expire(IDLE_HOP_MILLIS, LINGER_MILLIS);
  }

  /** Connections of callers and other nodes that are open. */
  int openIncomingConnections() {
    return outboundFilter.open() + inboundFilter.open();
  }

  /** Bytes of answers that no socket has taken yet. */
  long unwrittenBytes() {
    return outboundFilter.unwrittenBytes() + inboundFilter.unwrittenBytes();
  }

  /** Connections to other nodes that are open. */
  int openConnectionsToNodes() {
    return origins.open();
  }

  /** Cuts off what is in flight and not being answered; returns how many may have run. */
  int abortAll() {
    return active.abortAll();
  }

  @Override
  public void close() {
    try {
      transport.stop();
    } catch (IOException ignored) {
      // The process ends.
      return;
    }
  }
}
