package io.umberpath.node.proxy;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Tier;
import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.backend.BackendStatus;
import io.umberpath.node.proxy.http.ProxyHeaders;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.node.proxy.inbound.Headers;
import io.umberpath.node.proxy.inbound.Refusal;
import io.umberpath.node.proxy.inbound.RequestHandler;
import io.umberpath.node.proxy.inbound.RequestPlan;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.proxy.stats.ProxyStats;
import io.umberpath.node.settings.NodeSettings;
import io.umberpath.traffic.AdmissionController;
import io.umberpath.traffic.AdmissionController.Ask;
import io.umberpath.traffic.AdmissionController.Decision;
import io.umberpath.traffic.ChainBudget;
import io.umberpath.traffic.RetrySettings;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.Header;

/**
 * Requests of other nodes for the back end beside this one: admits or refuses them. A refusal
 * before the back end's connection is written to is a firm "not run".
 */
final class HopHandler implements RequestHandler {
  /** A request that asked for a slot. */
  private record Waiting(long id, Exchange exchange, AtomicReference<Standing> standing) {}

  /** Where a request stands; settles the race between its admission and its end. */
  private enum Standing {
    ASKED,
    ADMITTED,
    ENDED
  }

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

  private final NodeSettings.Backend backend;
  private final ConnectionPool pool;
  private final AdmissionController admission;
  private final BackendStatus status;
  private final LongSupplier clockMillis;
  private final AtomicLong lastId = new AtomicLong();
  private final Map<Long, Waiting> byId = new ConcurrentHashMap<>();
  private final Map<Exchange, Waiting> byExchange = new ConcurrentHashMap<>();

  HopHandler(
      NodeSettings.Backend backend,
      ConnectionPool pool,
      AdmissionController admission,
      BackendStatus status,
      LongSupplier clockMillis) {
    this.backend = backend;
    this.pool = pool;
    this.admission = admission;
    this.status = status;
    this.clockMillis = clockMillis;
  }

  /** From now on new requests are refused, and queued ones too. */
  void drain() {
    status.nodeDrains();
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.drain(clockMillis.getAsLong());
    }
    carryOut(decisions);
  }

  /** Lets time pass. */
  void tick(long nowMillis) {
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.tick(nowMillis);
    }
    carryOut(decisions);
  }

  /** Requests running or queued over slots, in percent. */
  int load() {
    synchronized (admission) {
      return (admission.running() + admission.queued()) * 100 / backend.slots();
    }
  }

  @Override
  public ProxyStats.Side side() {
    return ProxyStats.Side.HOP;
  }

  @Override
  public Either<Refusal, RequestPlan> plan(HttpRequestPacket head, long nowMillis) {
    Optional<String> requestId = Headers.text(head, ProxyHeaders.REQUEST_ID);
    Either<String, Optional<Long>> stated = Headers.deadlineMillis(head);
    if (requestId.isEmpty() || stated.isLeft()) {
      return Either.left(Refusal.notRun(Verdict.Reason.BAD_REQUEST));
    }
    long timeout = stated.get().orElse(DEFAULT_TIMEOUT_MILLIS);
    RequestPlan plan =
        new RequestPlan(
            requestId.get(),
            Headers.text(head, ProxyHeaders.ROUTE).orElse(""),
            Headers.text(head, ProxyHeaders.TENANT).orElse(""),
            tier(head),
            false,
            nowMillis + timeout,
            Optional.empty(),
            Optional.empty(),
            ChainBudget.ofRequest(Headers.text(head, ChainBudget.HEADER), RetrySettings.DEFAULT));
    return Either.right(plan);
  }

  private static Tier tier(HttpRequestPacket head) {
    String name = head.getHeader(ProxyHeaders.TIER);
    for (Tier tier : Tier.values()) {
      if (tier.name().equals(name)) {
        return tier;
      }
    }
    return Tier.BASIC;
  }

  @Override
  public void dispatch(Exchange exchange) {
    if (status.isDraining()) {
      exchange.refuse(Refusal.notRun(Verdict.Reason.DRAINING));
      return;
    }
    long shedding = status.sheddingMillis(clockMillis.getAsLong());
    if (shedding > 0) {
      Verdict verdict = new Verdict.NotRun(Verdict.Reason.OVERLOADED);
      exchange.refuse(new Refusal(verdict, shedding));
      return;
    }
    RequestPlan plan = exchange.plan();
    Waiting waiting =
        new Waiting(lastId.incrementAndGet(), exchange, new AtomicReference<>(Standing.ASKED));
    byId.put(waiting.id(), waiting);
    byExchange.put(exchange, waiting);
    Ask ask = new Ask(waiting.id(), plan.tenant(), plan.tier(), plan.deadlineMillis());
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.ask(clockMillis.getAsLong(), ask);
    }
    carryOut(decisions);
  }

  private void carryOut(List<Decision> decisions) {
    for (Decision decision : decisions) {
      Waiting waiting = byId.get(decision.id());
      if (decision instanceof Decision.Admitted) {
        admit(decision.id(), waiting);
      } else if (decision instanceof Decision.Refused refused && waiting != null) {
        forget(waiting);
        long retryAfter = refused.retryAfterMillis();
        waiting.exchange().refuse(new Refusal(new Verdict.NotRun(refused.reason()), retryAfter));
      }
    }
  }

  private void admit(long id, Waiting waiting) {
    if (waiting == null || !waiting.standing().compareAndSet(Standing.ASKED, Standing.ADMITTED)) {
      release(id, 0);
      return;
    }
    boolean sent = waiting.exchange().sendTo(pool, backend.id());
    if (!sent && waiting.standing().getAndSet(Standing.ENDED) == Standing.ADMITTED) {
      // The request had ended before it asked, so that its end gave no slot back.
      forget(waiting);
      release(id, 0);
    }
  }

  @Override
  public void addHeaders(Exchange exchange, HttpRequestPacket outgoing, long nowMillis) {
    RequestPlan plan = exchange.plan();
    long left = Math.max(1, plan.deadlineMillis() - nowMillis);
    outgoing.getHeaders().addValue(ProxyHeaders.DEADLINE).setString(Long.toString(left));
    outgoing.getHeaders().addValue(ProxyHeaders.REQUEST_ID).setString(plan.requestId());
    outgoing.getHeaders().addValue(ChainBudget.HEADER).setString(plan.chain().encode());
  }

  @Override
  public String echoedId(RequestPlan plan) {
    return plan == null ? null : plan.requestId();
  }

  @Override
  public Optional<Refusal> refusalIn(Exchange exchange, HttpResponsePacket head) {
    Optional<String> named = Headers.text(head, ProxyHeaders.REQUEST_ID);
    if (named.isPresent() && !named.get().equals(exchange.plan().requestId())) {
      return Optional.of(Refusal.mayHaveRun(Verdict.Reason.BAD_ANSWER));
    }
    boolean draining = "true".equalsIgnoreCase(head.getHeader(ProxyHeaders.DRAINING));
    Optional<Long> retryAfter =
        Headers.text(head, Header.RetryAfter.toString())
            .flatMap(Headers::number)
            .map(seconds -> seconds * MILLIS_PER_SECOND);
    status.answered(head.getStatus(), draining, retryAfter, clockMillis.getAsLong());
    return Optional.empty();
  }

  @Override
  public void attemptEnded(Exchange exchange, String originId, Refusal refusal, long micros) {
    // The slot is given back when the request ends; there is one attempt.
  }

  @Override
  public boolean mayRetry(Exchange exchange, Verdict verdict) {
    return false;
  }

  @Override
  public void ended(Exchange exchange, Verdict verdict) {
    Waiting waiting = byExchange.get(exchange);
    if (waiting == null) {
      return;
    }
    forget(waiting);
    if (waiting.standing().getAndSet(Standing.ENDED) == Standing.ADMITTED) {
      release(waiting.id(), exchange.elapsedMicros());
      return;
    }
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.cancel(clockMillis.getAsLong(), waiting.id());
    }
    carryOut(decisions);
  }

  private void release(long id, long serviceMicros) {
    List<Decision> decisions;
    synchronized (admission) {
      decisions = admission.release(clockMillis.getAsLong(), id, serviceMicros);
    }
    carryOut(decisions);
  }

  private void forget(Waiting waiting) {
    byId.remove(waiting.id());
    byExchange.remove(waiting.exchange());
  }

  /** Where the back end listens. */
  static PeerAddress addressOf(NodeSettings.Backend backend) {
    return new PeerAddress(backend.host(), backend.port());
  }
}
