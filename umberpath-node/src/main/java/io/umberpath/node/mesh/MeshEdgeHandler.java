package io.umberpath.node.mesh;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Verdict;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.RoutingRule;
import io.umberpath.node.proxy.http.AnswerHead;
import io.umberpath.node.proxy.http.ProxyHeaders;
import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.node.proxy.http.VerdictHeader;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.node.proxy.inbound.Headers;
import io.umberpath.node.proxy.inbound.Refusal;
import io.umberpath.node.proxy.inbound.RefusalStyle;
import io.umberpath.node.proxy.inbound.RequestHandler;
import io.umberpath.node.proxy.inbound.RequestPlan;
import io.umberpath.node.proxy.origin.OriginManager;
import io.umberpath.node.proxy.stats.ProxyStats;
import io.umberpath.traffic.routing.CallerPatience;
import io.umberpath.traffic.routing.GateBalancer;
import io.umberpath.traffic.routing.GateLoad;
import io.umberpath.traffic.routing.WeightedSplit;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.util.Header;

/** Requests of callers: finds the route, picks a back end, sends to the node beside it. */
final class MeshEdgeHandler implements RequestHandler {
  /** Largest body that is sent on the chance of a free slot, bytes. */
  private static final long MAX_BOUNCED_BYTES = 16 * 1024;

  private static final long RETRY_WHEN_UNREADY_MILLIS = 300;
  private static final long RETRY_WHEN_NOBODY_MILLIS = 100;

  private final MeshSettings settings;
  private final Supplier<MeshView> view;
  private final OriginManager origins;
  private final GateBalancer balancer;
  private final PeerExchange peers;
  private final RequestQuarantine quarantine;
  private final RequestEvents events;
  private final LongSupplier clockMillis;
  private final WeightedSplit split = new WeightedSplit();
  private final EdgeRetries retries;
  private final CallerPatience patience = new CallerPatience();
  private final RequestCosts costs = new RequestCosts();
  private final RefusalStyle style = new MeshRefusalStyle();
  private final Set<String> replacedHeaders = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
  private volatile boolean leaving;
  private volatile boolean refusing;
  private volatile LateRequests lateRequests = LateRequests.NONE;

  /**
   * Creates the handler.
   *
   * @param repeatShare share of what the back end beside this node works on that may have run
   *     elsewhere before: what it calls meanwhile counts as repeated by that share
   */
  MeshEdgeHandler(
      MeshSettings settings,
      Supplier<MeshView> view,
      OriginManager origins,
      GateBalancer balancer,
      PeerExchange peers,
      DoubleSupplier repeatShare,
      MeshEvents events,
      LongSupplier clockMillis) {
    this.settings = settings;
    this.view = view;
    this.origins = origins;
    this.balancer = balancer;
    this.peers = peers;
    this.quarantine = peers.quarantine();
    this.events = events.requests();
    this.clockMillis = clockMillis;
    this.retries = new EdgeRetries(settings.retry(), peers::nodes, repeatShare);
    replacedHeaders.add(settings.headers().deadline());
    replacedHeaders.add(settings.headers().callerService());
    replacedHeaders.add(settings.headers().expectedInstance());
    replacedHeaders.add(Header.Expect.toString());
  }

  /** From now on answers ask callers to go elsewhere with their next request. */
  void leave() {
    leaving = true;
  }

  /** Requests that come late in a planned stop are refused as not run. */
  void refuseLate(LateRequests late) {
    lateRequests = late;
  }

  /** From now on requests are refused as not run. */
  void refuse() {
    refusing = true;
  }

  @Override
  public ProxyStats.Side side() {
    return ProxyStats.Side.EDGE;
  }

  @Override
  public RefusalStyle refusalStyle() {
    return style;
  }

  @Override
  public Either<Refusal, RequestPlan> plan(RequestHead head, long arrivedMillis) {
    if (refusing) {
      return Either.left(draining());
    }
    MeshView current = view.get();
    if (!current.isComplete()) {
      return Either.left(
          new Refusal(new Verdict.NotRun(Verdict.Reason.NOT_READY), RETRY_WHEN_UNREADY_MILLIS));
    }
    Optional<String> requestId = head.field(settings.headers().requestId());
    Optional<Long> stated = statedDeadline(head);
    if (requestId.isEmpty() || stated.isEmpty()) {
      return Either.left(Refusal.notRun(Verdict.Reason.BAD_REQUEST));
    }
    Optional<RoutingRule> rule =
        current.table().match(head.field(Header.Host.toString()).orElse(""), head.path());
    if (rule.isEmpty()) {
      return Either.left(Refusal.notRun(Verdict.Reason.NO_ROUTE));
    }
    long deadlineMillis = arrivedMillis + Math.min(stated.get(), rule.get().timeoutMillis());
    if (lateRequests.refuses(deadlineMillis, clockMillis.getAsLong())) {
      return Either.left(draining());
    }
    boolean returned = isReturned(rule.get(), stated.get());
    return Either.right(
        plan(
            head,
            requestId.get(),
            rule.get(),
            current.version(),
            arrivedMillis,
            deadlineMillis,
            returned));
  }

  private MeshEdgePlan plan(
      RequestHead head,
      String requestId,
      RoutingRule rule,
      long version,
      long arrivedMillis,
      long deadlineMillis,
      boolean returned) {
    String service;
    synchronized (split) {
      service = split.next(rule);
    }
    retries.requestStarted(clockMillis.getAsLong(), rule.name(), service);
    return new MeshEdgePlan(
        requestId,
        rule,
        service,
        version,
        deadlineMillis,
        arrivedMillis,
        Fingerprints.targetOf(head),
        returned,
        replacedHeaders,
        new AttemptTally());
  }

  private boolean isReturned(RoutingRule rule, long statedMillis) {
    synchronized (patience) {
      return patience.ageMillis(rule.name(), statedMillis) > 0;
    }
  }

  /** The caller's deadline; very long if it states none, empty if it is malformed. */
  private Optional<Long> statedDeadline(RequestHead head) {
    Optional<String> text = head.field(settings.headers().deadline());
    return text.isEmpty() ? Optional.of((long) Integer.MAX_VALUE) : Headers.number(text.get());
  }

  @Override
  public void dispatch(Exchange exchange) {
    long now = clockMillis.getAsLong();
    MeshEdgePlan plan = planOf(exchange);
    if (plan.deadlineMillis() <= now) {
      exchange.refuse(Refusal.notRun(Verdict.Reason.DEADLINE));
      return;
    }
    if (!exchange.body().isHeld()) {
      awaitBody(exchange);
      return;
    }
    if (isHeld(exchange, plan)) {
      return;
    }
    List<BackendEntry> candidates = peers.readyBackends(plan.service());
    Set<String> silent = peers.silentBackends(candidates);
    boolean mayBounce = mayBounce(exchange, plan);
    Set<String> leftOut = plan.tally().leftOut(mayBounce);
    GateBalancer.RequestConstraints constraints = costs.constraints(exchange, plan, now);
    Optional<GateBalancer.Choice> choice;
    synchronized (balancer) {
      choice = balancer.pick(now, candidates, constraints, leftOut, silent);
      if (choice.isEmpty()) {
        Set<String> failed = plan.tally().leftOut(false);
        choice = balancer.pick(now, candidates, constraints, failed, silent);
      }
      choice.ifPresent(chosen -> balancer.started(now, chosen.backend().id()));
    }
    if (choice.isEmpty()) {
      exchange.refuse(exchange.history().lastRefusal().orElseGet(MeshEdgeHandler::nobody));
      return;
    }
    BackendEntry chosen = choice.get().backend();
    plan.tally()
        .tolerate(mayBounce ? choice.get().toleratedWaitMillis() : GateBalancer.ANY_WAIT_MILLIS);
    PeerAddress gate = new PeerAddress(chosen.address().host(), settings.inbound().port());
    if (!exchange.sendTo(origins.poolOf(gate), chosen.id())) {
      synchronized (balancer) {
        balancer.finished(now, chosen.id(), new Verdict.NotRun(Verdict.Reason.CANCELLED));
      }
    }
  }

  /** The back end is chosen when the body can follow at once. */
  private static void awaitBody(Exchange exchange) {
    if (exchange.request().field(Header.Expect.toString()).isPresent()) {
      exchange.continueBody();
    }
    exchange.dispatchOnceBodyIsHeld();
  }

  /**
   * Whether the request is kept from all back ends, and so refused. No time to come back is named:
   * whoever comes again is refused again.
   */
  private boolean isHeld(Exchange exchange, MeshEdgePlan plan) {
    // What earlier tries of the request have done counts too: one ended 25 back ends, two a try,
    // as each try began at nought.
    boolean isHeld =
        quarantine.concerns(plan.target())
            && Fingerprints.of(exchange, plan.target()).filter(quarantine::holdsAtEdge).isPresent();
    if (isHeld) {
      exchange.refuse(Refusal.notRun(Verdict.Reason.QUARANTINED));
    }
    return isHeld;
  }

  private static Refusal draining() {
    return new Refusal(new Verdict.NotRun(Verdict.Reason.DRAINING), RETRY_WHEN_NOBODY_MILLIS);
  }

  private static Refusal nobody() {
    return new Refusal(new Verdict.NotRun(Verdict.Reason.NO_BACKEND), RETRY_WHEN_NOBODY_MILLIS);
  }

  @Override
  public Optional<Refusal> refusalAtSending(RequestPlan plan, long nowMillis) {
    if (refusing) {
      return Optional.of(draining());
    }
    return RequestHandler.super.refusalAtSending(plan, nowMillis);
  }

  @Override
  public void addHeaders(Exchange exchange, HttpRequestPacket outgoing, long nowMillis) {
    MeshEdgePlan plan = planOf(exchange);
    HeaderNames names = settings.headers();
    long left = plan.deadlineMillis() - nowMillis;
    set(outgoing, names.deadline(), Long.toString(left));
    Headers.addUnread(exchange, outgoing);
    set(outgoing, names.callerService(), settings.service());
    HopHeader hop =
        new HopHeader(
            exchange.currentOrigin(),
            plan.route(),
            RequestTimes.dueMillis(plan, nowMillis),
            plan.tally().toleratedWaitMillis(),
            RequestTimes.targetMillis(plan, nowMillis),
            RequestTimes.refuseByMillis(plan, nowMillis),
            RequestTimes.startByMillis(plan, nowMillis),
            plan.tally().arrivals() > 0);
    set(outgoing, HopHeader.HEADER, hop.encode());
  }

  private static boolean mayBounce(Exchange exchange, MeshEdgePlan plan) {
    return plan.tally().bounces() < EdgeRetries.MAX_BOUNCES
        && exchange.request().contentLength() <= MAX_BOUNCED_BYTES
        && exchange.body().isReplayable();
  }

  private static void set(HttpRequestPacket packet, String name, String value) {
    packet.getHeaders().setValue(name).setString(value);
  }

  @Override
  public boolean mayRunBesideOthers(RequestPlan plan) {
    return ((MeshEdgePlan) plan).rule().kind().isRepeatable();
  }

  @Override
  public boolean isLeaving() {
    return leaving;
  }

  @Override
  public String echoedId(RequestPlan plan) {
    return null;
  }

  @Override
  public Optional<Refusal> refusalIn(Exchange exchange, AnswerHead head) {
    MeshEdgePlan plan = planOf(exchange);
    stated(exchange.currentOrigin(), plan.route(), head);
    Optional<String> verdict = head.field(ProxyHeaders.VERDICT);
    if (verdict.isPresent()) {
      return VerdictHeader.parse(verdict.get())
          .map(each -> new Refusal(asOfNode(each), Headers.retryAfterMillis(head), true));
    }
    costs.answered(plan.route(), head.contentLength());
    boolean own =
        head.field(settings.headers().requestId()).filter(plan.requestId()::equals).isPresent();
    return own ? Optional.empty() : Optional.of(Refusal.mayHaveRun(Verdict.Reason.BAD_ANSWER));
  }

  /** This node has read the request: what another cannot read is not the caller's doing. */
  private static Verdict asOfNode(Verdict verdict) {
    boolean isUnreadable = verdict.equals(new Verdict.NotRun(Verdict.Reason.BAD_REQUEST));
    return isUnreadable ? new Verdict.NotRun(Verdict.Reason.UNREADABLE) : verdict;
  }

  private void stated(String backend, String route, AnswerHead head) {
    GateLoad load = head.field(MeshGateHandler.LOAD_HEADER).map(GateLoad::decode).orElse(null);
    if (head.field(MeshGateHandler.NESTED_HEADER).isPresent()) {
      retries.nestedRouteSeen(route);
    }
    if (load != null) {
      synchronized (balancer) {
        balancer.stated(clockMillis.getAsLong(), backend, load);
        balancer.answered(backend, route, load.routeMicros());
      }
    }
  }

  @Override
  public void attemptEnded(Exchange exchange, String originId, Refusal refusal, long micros) {
    Verdict verdict = refusal == null ? new Verdict.Completed() : refusal.verdict();
    synchronized (balancer) {
      balancer.finished(clockMillis.getAsLong(), originId, verdict);
    }
    AttemptTally tally = planOf(exchange).tally();
    if (EdgeRetries.arrived(verdict)) {
      tally.arrived(originId);
    } else if (((Verdict.NotRun) verdict).reason() == Verdict.Reason.OVERLOADED) {
      tally.bounced(originId);
    } else {
      tally.refused(originId);
    }
  }

  @Override
  public boolean mayRetry(Exchange exchange, Verdict verdict) {
    MeshEdgePlan plan = planOf(exchange);
    String decision = retries.against(exchange, plan, verdict, clockMillis.getAsLong());
    boolean again = decision.isEmpty();
    events.attemptFailed(
        plan,
        String.valueOf(exchange.history().lastOrigin()),
        Fingerprints.text(exchange, plan.target(), verdict),
        verdict,
        again ? "" : decision);
    return again;
  }

  @Override
  public void ended(Exchange exchange, Verdict verdict) {
    MeshEdgePlan plan = planOf(exchange);
    if (plan == null) {
      return;
    }
    long millis = clockMillis.getAsLong() - plan.beganMillis();
    if (verdict instanceof Verdict.Completed) {
      events.requestServed(plan, exchange.history().count(), millis);
    } else {
      boolean held = VerdictHeader.reasonOf(verdict) == Verdict.Reason.QUARANTINED;
      String fingerprint = held ? Fingerprints.text(exchange, plan.target()) : "";
      events.requestFailed(
          plan,
          fingerprint,
          exchange.history().count(),
          verdict,
          millis,
          exchange.age().unreadMillis());
    }
  }

  private static MeshEdgePlan planOf(Exchange exchange) {
    return (MeshEdgePlan) exchange.plan();
  }
}
