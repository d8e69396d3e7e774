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
import io.umberpath.node.proxy.origin.OriginConnectionPools;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.traffic.AdmissionControllers;
import io.umberpath.traffic.routing.LatencyAwareBalancer;
import java.io.IOException;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.glassfish.grizzly.filterchain.Filter;

/** The data plane of a node: listeners, connections and the outbound and inbound handlers. */
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
  private static final long MIN_RETRY_AFTER_MILLIS = 30;

  private final MeshSettings settings;
  private final Supplier<MeshView> view;
  private final ProxyTransport transport;
  private final OriginConnectionPools origins;
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
      LatencyAwareBalancer balancer,
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
            ConnectionPool::returnToPool,
            1,
            new EventLoopDelayListener(metrics, events));
    this.origins = new OriginConnectionPools(transport, clockMillis, CONNECT_TIMEOUT_MILLIS);
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
            AdmissionControllers.createInDueOrder(
                AdmissionLimits.settings(backend.slots(), MIN_RETRY_AFTER_MILLIS),
                backend.startLimiter()),
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

  private long maxBodyBytes() {
    MeshView current = view.get();
    return current.isComplete()
        ? current.configuration().limits().maxBodyBytes()
        : DEFAULT_MAX_BODY_BYTES;
  }

  void start() throws IOException {
    transport.start();
    inboundListener = listen(settings.inbound(), inboundFilter);
    outboundListener = listen(settings.outbound(), outboundFilter);
  }

  private Listener listen(PeerAddress address, InboundFilter last) throws IOException {
    return transport.listen(address.host(), address.port(), last);
  }

  /** Opens an additional listener. */
  void listen(PeerAddress address, Filter last) throws IOException {
    transport.listen(address.host(), address.port(), last);
  }

  /** Returns the pool of connections to the local backend. */
  ConnectionPool backendPool() {
    return backendPool;
  }

  MeshInboundHandler inboundHandler() {
    return inbound;
  }

  /** Creates the log of how the requests of each route end. */
  RouteSummaryLog createRouteSummaryLog(MeshEvents events, LongSupplier clockMillis) {
    return new RouteSummaryLog(
        events,
        settings.zone(),
        outbound.summaries(),
        inbound.summaries(),
        () -> inbound.backendLoad().current(),
        clockMillis);
  }

  /** Returns the number of requests in flight. */
  int inFlight() {
    return active.size();
  }

  /** Returns whether the local backend is running a request. */
  boolean isBackendBusy() {
    return inbound.admissionQueue().running() > 0;
  }

  /** From now on clients are asked to send their next request elsewhere. */
  void startDraining() {
    outbound.startDraining();
  }

  /** Returns the latest deadline of the requests running on the local backend. */
  private long latestBackendDeadlineMillis() {
    return active
        .plans()
        .filter(MeshInboundPlan.class::isInstance)
        .mapToLong(plan -> ((MeshInboundPlan) plan).latestDeadlineMillis())
        .max()
        .orElse(Long.MIN_VALUE);
  }

  /**
   * From the given time on, refuses clients' requests as not run, except those that end in time.
   *
   * @param fromMillis start time, on the node's clock
   * @param cutOffMillis time at which requests in flight are cut off, on the node's clock
   */
  void refuseLateClientRequests(long fromMillis, long cutOffMillis) {
    outbound.setShutdownRefusals(
        new ShutdownRefusalPolicy(
            fromMillis, cutOffMillis, this::latestBackendDeadlineMillis, outbound.durations()));
  }

  /** From now on clients' requests are refused as not run. */
  void refuseClientRequests() {
    outbound.refuseRequests();
  }

  /** Stops accepting connections of clients. */
  void closeOutboundListener() {
    outboundListener.closeWhenEmpty();
  }

  /**
   * Stops accepting connections, and closes the open ones after all their responses are written.
   *
   * @param endMillis latest time at which this method returns, on the node's clock
   */
  void endConnections(long endMillis) throws InterruptedException {
    inboundListener.closeWhenEmpty();
    closeOutboundListener();
    new ConnectionDrain(List.of(outboundFilter, inboundFilter), clockMillis).run(endMillis);
  }

  /**
   * Ends requests that are past their deadline.
   *
   * @param isTimerLate whether the calling timer thread was not scheduled for a while
   */
  void enforceDeadlines(boolean isTimerLate) {
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
   * Closes connections that are not established in time, and updates the backend's speed.
   *
   * @param isTimerLate whether the calling timer thread was not scheduled for a while
   */
  void runMaintenance(boolean isTimerLate) {
    transport.checkTimeouts(sweepTask, isTimerLate);
  }

  private void sweepNow() {
    inbound.observe();
    backendPool.expire(IDLE_BACKEND_MILLIS);
    origins.failOverdueConnects();
  }

  /** Closes idle connections to other nodes and to the backend. */
  void closeIdleUpstreamConnections() {
    origins.expire(0);
    backendPool.expire(0);
  }

  /** Closes connections of clients and other nodes that exceeded their idle timeout. */
  void closeIdleConnections() {
    MeshView current = view.get();
    RequestLimits limits = current.isComplete() ? current.configuration().limits() : null;
    long idleMillis = limits == null ? DEFAULT_IDLE_MILLIS : limits.idleTimeoutMillis();
    origins.expire(IDLE_PEER_MILLIS);
    outboundFilter.expire(idleMillis, LINGER_MILLIS);
    inboundFilter.expire(IDLE_HOP_MILLIS, LINGER_MILLIS);
  }

  /** Returns the number of open connections from clients and other nodes. */
  int openIncomingConnections() {
    return outboundFilter.open() + inboundFilter.open();
  }

  /** Returns the number of response bytes not yet written to a socket. */
  long unwrittenBytes() {
    return outboundFilter.unwrittenBytes() + inboundFilter.unwrittenBytes();
  }

  /** Returns the number of open connections to other nodes. */
  int openPeerConnections() {
    return origins.openCount();
  }

  /**
   * Aborts requests in flight whose response has not started; returns how many of them may have
   * run.
   */
  int abortAll() {
    return active.abortAll();
  }

  @Override
  public void close() {
    try {
      transport.stop();
    } catch (IOException ignored) {
      // Ignored because the process is exiting.
      return;
    }
  }
}
