package io.umberpath.node.proxy;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Tier;
import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.backend.BackendStatus;
import io.umberpath.node.proxy.http.ProxyHeaders;
import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.node.proxy.http.ResponseHead;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.node.proxy.inbound.Headers;
import io.umberpath.node.proxy.inbound.PoolRequestPlan;
import io.umberpath.node.proxy.inbound.Refusal;
import io.umberpath.node.proxy.inbound.RequestHandler;
import io.umberpath.node.proxy.inbound.RequestPlan;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.proxy.stats.ProxyStats;
import io.umberpath.node.settings.NodeSettings;
import io.umberpath.traffic.AdmissionController;
import io.umberpath.traffic.AdmissionController.AdmissionRequest;
import io.umberpath.traffic.ChainRetryBudget;
import io.umberpath.traffic.RetrySettings;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.util.Header;

/**
 * Handles requests of other nodes for the backend beside this node: admits or refuses them. A
 * request that is refused before the backend's connection is written to certainly did not run.
 */
final class HopHandler implements RequestHandler {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

  private final NodeSettings.Backend backend;
  private final ConnectionPool pool;
  private final SlotGate gate;
  private final BackendStatus backendStatus;
  private final LongSupplier clockMillis;

  HopHandler(
      NodeSettings.Backend backend,
      ConnectionPool pool,
      AdmissionController admission,
      BackendStatus backendStatus,
      LongSupplier clockMillis) {
    this.backend = backend;
    this.pool = pool;
    this.gate =
        new SlotGate(admission, exchange -> exchange.sendTo(pool, backend.id()), clockMillis);
    this.backendStatus = backendStatus;
    this.clockMillis = clockMillis;
  }

  /** Refuses new and queued requests from now on. */
  void drain() {
    backendStatus.setNodeDraining();
    gate.drain();
  }

  /** Refuses queued requests whose deadline can no longer be met. */
  void tick(long nowMillis) {
    gate.tick(nowMillis);
  }

  /** Running and queued requests in relation to the slots, in percent. */
  int loadPercent() {
    return (gate.running() + gate.queued()) * 100 / backend.slots();
  }

  @Override
  public ProxyStats.Side side() {
    return ProxyStats.Side.HOP;
  }

  @Override
  public Either<Refusal, RequestPlan> plan(RequestHead head, long arrivedMillis) {
    Optional<String> requestId = head.field(ProxyHeaders.REQUEST_ID);
    Either<String, Optional<Long>> requestedMillis = Headers.deadlineMillis(head);
    if (requestId.isEmpty() || requestedMillis.isLeft()) {
      return Either.left(Refusal.notRun(Verdict.Reason.BAD_REQUEST));
    }
    long timeoutMillis = requestedMillis.get().orElse(DEFAULT_TIMEOUT_MILLIS);
    PoolRequestPlan plan =
        new PoolRequestPlan(
            requestId.get(),
            head.field(ProxyHeaders.ROUTE).orElse(""),
            head.field(ProxyHeaders.TENANT).orElse(""),
            tierOf(head),
            false,
            arrivedMillis + timeoutMillis,
            Headers.unreadMillis(head),
            Optional.empty(),
            Optional.empty(),
            ChainRetryBudget.ofRequest(head.field(ChainRetryBudget.HEADER), RetrySettings.DEFAULT));
    return Either.right(plan);
  }

  private static Tier tierOf(RequestHead head) {
    String name = head.field(ProxyHeaders.TIER).orElse("");
    for (Tier tier : Tier.values()) {
      if (tier.name().equals(name)) {
        return tier;
      }
    }
    return Tier.BASIC;
  }

  @Override
  public void dispatch(Exchange exchange) {
    if (backendStatus.isDraining()) {
      exchange.refuse(Refusal.notRun(Verdict.Reason.DRAINING));
      return;
    }
    long sheddingMillis = backendStatus.remainingSheddingMillis(clockMillis.getAsLong());
    if (sheddingMillis > 0) {
      Verdict verdict = new Verdict.NotRun(Verdict.Reason.OVERLOADED);
      exchange.refuse(new Refusal(verdict, sheddingMillis));
      return;
    }
    PoolRequestPlan plan = planOf(exchange);
    gate.requestSlot(
        exchange,
        id -> new AdmissionRequest(id, plan.tenant(), plan.tier(), plan.deadlineMillis()));
  }

  @Override
  public void addHeaders(Exchange exchange, HttpRequestPacket outgoing, long nowMillis) {
    PoolRequestPlan plan = planOf(exchange);
    long remainingMillis = plan.deadlineMillis() - nowMillis;
    outgoing
        .getHeaders()
        .addValue(ProxyHeaders.DEADLINE_MILLIS)
        .setString(Long.toString(remainingMillis));
    outgoing.getHeaders().addValue(ProxyHeaders.REQUEST_ID).setString(plan.requestId());
    outgoing.getHeaders().addValue(ChainRetryBudget.HEADER).setString(plan.chain().encode());
  }

  @Override
  public String requestIdForResponse(RequestPlan plan) {
    return plan == null ? null : plan.requestId();
  }

  @Override
  public Optional<Refusal> refusalInResponse(Exchange exchange, ResponseHead head) {
    Optional<String> echoedId = head.field(ProxyHeaders.REQUEST_ID);
    if (echoedId.isPresent() && !echoedId.get().equals(planOf(exchange).requestId())) {
      return Optional.of(Refusal.mayHaveRun(Verdict.Reason.BAD_ANSWER));
    }
    boolean isDraining =
        head.field(ProxyHeaders.DRAINING).filter("true"::equalsIgnoreCase).isPresent();
    Optional<Long> retryAfterMillis =
        head.field(Header.RetryAfter.toString())
            .flatMap(Headers::number)
            .map(seconds -> seconds * MILLIS_PER_SECOND);
    backendStatus.onResponse(head.status(), isDraining, retryAfterMillis, clockMillis.getAsLong());
    return Optional.empty();
  }

  @Override
  public void attemptEnded(Exchange exchange, String originId, Refusal refusal, long micros) {
    // The slot is released when the request ends; there is only one attempt.
  }

  @Override
  public boolean mayRetry(Exchange exchange, Verdict verdict) {
    return false;
  }

  @Override
  public void requestEnded(Exchange exchange, Verdict verdict) {
    gate.ended(exchange);
  }

  /** The address of the backend. */
  static PeerAddress addressOf(NodeSettings.Backend backend) {
    return new PeerAddress(backend.host(), backend.port());
  }

  private static PoolRequestPlan planOf(Exchange exchange) {
    return (PoolRequestPlan) exchange.plan();
  }
}
