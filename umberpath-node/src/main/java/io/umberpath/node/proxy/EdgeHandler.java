package io.umberpath.node.proxy;

import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument.BackendAddress;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Route;
import io.umberpath.model.Secret;
import io.umberpath.model.Tier;
import io.umberpath.model.Verdict;
import io.umberpath.node.control.ControlService;
import io.umberpath.node.proxy.http.ProxyHeaders;
import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.node.proxy.http.ResponseHead;
import io.umberpath.node.proxy.http.VerdictHeader;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.node.proxy.inbound.Headers;
import io.umberpath.node.proxy.inbound.PoolRequestPlan;
import io.umberpath.node.proxy.inbound.Refusal;
import io.umberpath.node.proxy.inbound.RequestHandler;
import io.umberpath.node.proxy.inbound.RequestPlan;
import io.umberpath.node.proxy.origin.OriginConnectionPools;
import io.umberpath.node.proxy.stats.ProxyStats;
import io.umberpath.traffic.ChainRetryBudget;
import io.umberpath.traffic.LoadBalancer;
import io.umberpath.traffic.RetryPolicy;
import io.umberpath.traffic.RetrySettings;
import io.umberpath.traffic.RouteTable;
import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.util.Header;

/**
 * Handles requests of clients: finds the route, picks a backend and forwards to the node beside it.
 */
final class EdgeHandler implements RequestHandler {
  private record CachedTable(ProxySnapshot snapshot, RouteTable table) {}

  private final ControlService control;
  private final OriginConnectionPools originPools;
  private final LoadBalancer balancer;
  private final Map<Tier, RetryPolicy> retryPolicies;
  private final LongSupplier clockMillis;
  private final String requestIdPrefix;
  private final AtomicLong lastRequestId = new AtomicLong();
  private volatile CachedTable cachedTable;
  private volatile boolean isDraining;
  private Map<String, ObservedBackend> lastObserved = Map.of();

  EdgeHandler(
      ControlService control,
      OriginConnectionPools originPools,
      LoadBalancer balancer,
      Map<Tier, RetryPolicy> retryPolicies,
      LongSupplier clockMillis) {
    this.control = control;
    this.originPools = originPools;
    this.balancer = balancer;
    this.retryPolicies = retryPolicies;
    this.clockMillis = clockMillis;
    this.requestIdPrefix = Long.toHexString(ThreadLocalRandom.current().nextLong()) + "-";
    this.cachedTable = new CachedTable(ProxySnapshot.EMPTY, RouteTable.of(ProxySnapshot.EMPTY));
  }

  /** Refuses new requests from now on. */
  void drain() {
    isDraining = true;
  }

  /** Passes changes of the observed backends to the load balancer. */
  void updateObserved(long nowMillis) {
    Map<String, ObservedBackend> observed = control.observedBackends();
    if (!observed.equals(lastObserved)) {
      lastObserved = Map.copyOf(observed);
      synchronized (balancer) {
        balancer.updateReports(nowMillis, List.copyOf(observed.values()));
      }
    }
  }

  @Override
  public ProxyStats.Side side() {
    return ProxyStats.Side.EDGE;
  }

  @Override
  public Either<Refusal, RequestPlan> plan(RequestHead head, long arrivedMillis) {
    if (isDraining) {
      return Either.left(Refusal.notRun(Verdict.Reason.DRAINING));
    }
    ProxySnapshot snapshot = control.snapshot();
    if (snapshot == ProxySnapshot.EMPTY) {
      return Either.left(Refusal.notRun(Verdict.Reason.NOT_READY));
    }
    String path = head.path();
    if (!path.startsWith("/")) {
      return Either.left(Refusal.notRun(Verdict.Reason.BAD_REQUEST));
    }
    Optional<Route> route = tableOf(snapshot).match(hostOf(head), path);
    if (route.isEmpty()) {
      return Either.left(Refusal.notRun(Verdict.Reason.NO_ROUTE));
    }
    Either<String, Optional<Long>> requestedMillis = Headers.deadlineMillis(head);
    if (requestedMillis.isLeft()) {
      return Either.left(Refusal.notRun(Verdict.Reason.BAD_REQUEST));
    }
    long timeoutMillis =
        Math.min(route.get().timeoutMillis(), requestedMillis.get().orElse(Long.MAX_VALUE));
    if (timeoutMillis <= 0) {
      return Either.left(Refusal.notRun(Verdict.Reason.DEADLINE));
    }
    PoolRequestPlan plan = plan(head, snapshot, route.get(), arrivedMillis + timeoutMillis);
    RetryPolicy policy = retryPolicies.get(plan.tier());
    synchronized (policy) {
      policy.requestStarted(clockMillis.getAsLong(), plan.chain());
    }
    return Either.right(plan);
  }

  private PoolRequestPlan plan(
      RequestHead head, ProxySnapshot snapshot, Route route, long deadlineMillis) {
    return new PoolRequestPlan(
        requestIdPrefix + lastRequestId.incrementAndGet(),
        route.name(),
        route.tenant(),
        route.tier(),
        route.repeatableMethods().contains(head.method()),
        deadlineMillis,
        0,
        route.secret().map(snapshot.secrets()::get).map(Secret::headerValue).map("Bearer "::concat),
        Optional.of(snapshot.pools().get(route.pool())),
        ChainRetryBudget.ofRequest(head.field(ChainRetryBudget.HEADER), RetrySettings.DEFAULT));
  }

  private RouteTable tableOf(ProxySnapshot snapshot) {
    CachedTable cached = cachedTable;
    if (cached.snapshot() != snapshot) {
      cached = new CachedTable(snapshot, RouteTable.of(snapshot));
      cachedTable = cached;
    }
    return cached.table();
  }

  private static String hostOf(RequestHead head) {
    String host = head.field(Header.Host.toString()).orElse("");
    int bracket = host.lastIndexOf(']');
    int colon = host.indexOf(':', Math.max(bracket, 0));
    return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
  }

  @Override
  public void dispatch(Exchange exchange) {
    long now = clockMillis.getAsLong();
    Either<Verdict.Reason, ProxySnapshot.BackendView> picked;
    synchronized (balancer) {
      picked =
          balancer.pick(
              now,
              planOf(exchange).pool().orElseThrow(),
              planOf(exchange).tier(),
              ThreadLocalRandom.current().nextLong(),
              exchange.history().triedOrigins());
      if (picked.isRight()) {
        balancer.started(now, picked.get().address().id());
      }
    }
    if (picked.isRight()) {
      send(exchange, picked.get().address(), now);
    } else {
      exchange.refuse(
          exchange
              .history()
              .lastRefusal()
              .orElseGet(() -> noBackendRefusal(exchange, picked.getLeft(), now)));
    }
  }

  private Refusal noBackendRefusal(Exchange exchange, Verdict.Reason reason, long nowMillis) {
    PoolRequestPlan plan = planOf(exchange);
    long retryAfterMillis;
    synchronized (balancer) {
      retryAfterMillis =
          balancer.retryAfterMillis(nowMillis, plan.pool().orElseThrow(), plan.tier());
    }
    Refusal refusal = Refusal.notRun(reason);
    return retryAfterMillis > 0 ? new Refusal(refusal.verdict(), retryAfterMillis) : refusal;
  }

  private void send(Exchange exchange, BackendAddress backend, long nowMillis) {
    PeerAddress address = new PeerAddress(backend.nodeHost(), backend.nodeHopPort());
    if (!exchange.sendTo(originPools.poolOf(address), backend.id())) {
      // The request ended while its backend was being picked.
      synchronized (balancer) {
        balancer.finished(nowMillis, backend.id(), new Verdict.NotRun(Verdict.Reason.CANCELLED), 0);
      }
    }
  }

  @Override
  public void addHeaders(Exchange exchange, HttpRequestPacket outgoing, long nowMillis) {
    PoolRequestPlan plan = planOf(exchange);
    long remainingMillis = plan.deadlineMillis() - nowMillis;
    set(outgoing, ProxyHeaders.DEADLINE_MILLIS, Long.toString(remainingMillis));
    Headers.addUnread(exchange, outgoing);
    set(outgoing, ProxyHeaders.REQUEST_ID, attemptId(exchange));
    set(outgoing, ProxyHeaders.ATTEMPT, Integer.toString(exchange.history().count()));
    set(
        outgoing,
        ChainRetryBudget.HEADER,
        plan.chain().forAttempt(exchange.history().count()).encode());
    set(outgoing, ProxyHeaders.ROUTE, plan.route());
    set(outgoing, ProxyHeaders.TENANT, plan.tenant());
    set(outgoing, ProxyHeaders.TIER, plan.tier().name());
  }

  private static String attemptId(Exchange exchange) {
    return planOf(exchange).requestId() + "." + exchange.history().count();
  }

  private static void set(HttpRequestPacket packet, String name, String value) {
    packet.getHeaders().addValue(name).setString(value);
  }

  @Override
  public String requestIdForResponse(RequestPlan plan) {
    return null;
  }

  @Override
  public Optional<Refusal> refusalInResponse(Exchange exchange, ResponseHead head) {
    if (head.field(ProxyHeaders.REQUEST_ID).filter(attemptId(exchange)::equals).isEmpty()) {
      return Optional.of(Refusal.mayHaveRun(Verdict.Reason.BAD_ANSWER));
    }
    return head.field(ProxyHeaders.VERDICT)
        .flatMap(VerdictHeader::parse)
        .map(verdict -> new Refusal(verdict, Headers.retryAfterMillis(head), true));
  }

  @Override
  public void attemptEnded(Exchange exchange, String originId, Refusal refusal, long micros) {
    long now = clockMillis.getAsLong();
    Verdict verdict = refusal == null ? new Verdict.Completed() : refusal.verdict();
    synchronized (balancer) {
      balancer.finished(now, originId, verdict, micros);
      if (refusal != null && refusal.fromOrigin() && refusal.retryAfterMillis() > 0) {
        balancer.backOff(now, originId, planOf(exchange).tier(), refusal.retryAfterMillis());
      }
    }
  }

  @Override
  public boolean mayRetry(Exchange exchange, Verdict verdict) {
    PoolRequestPlan plan = planOf(exchange);
    RetryPolicy.FailedAttempt failed =
        new RetryPolicy.FailedAttempt(
            verdict,
            plan.repeatable(),
            exchange.history().count(),
            exchange.body().isReplayable(),
            plan.deadlineMillis());
    RetryPolicy policy = retryPolicies.get(plan.tier());
    synchronized (policy) {
      return policy.mayRetry(clockMillis.getAsLong(), failed, remainingChainBudget(exchange));
    }
  }

  /** The request's remaining chain budget after the retries made here. */
  private static ChainRetryBudget remainingChainBudget(Exchange exchange) {
    int retriesMade = exchange.history().count() - 1;
    return new ChainRetryBudget(Math.max(0, planOf(exchange).chain().retriesLeft() - retriesMade));
  }

  @Override
  public void requestEnded(Exchange exchange, Verdict verdict) {
    // An edge holds no resources for a request.
  }

  private static PoolRequestPlan planOf(Exchange exchange) {
    return (PoolRequestPlan) exchange.plan();
  }
}
