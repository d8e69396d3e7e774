package io.umberpath.node.mesh;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Verdict;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.BackendStart;
import io.umberpath.model.routing.RoutingRule;
import io.umberpath.node.proxy.http.ProxyHeaders;
import io.umberpath.node.proxy.http.RawHead;
import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.node.proxy.http.ResponseHead;
import io.umberpath.node.proxy.http.VerdictHeader;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.node.proxy.inbound.Headers;
import io.umberpath.node.proxy.inbound.Refusal;
import io.umberpath.node.proxy.inbound.RefusalStyle;
import io.umberpath.node.proxy.inbound.RequestHandler;
import io.umberpath.node.proxy.inbound.RequestPlan;
import io.umberpath.node.proxy.origin.OriginConnectionPools;
import io.umberpath.node.proxy.stats.ProxyStats;
import io.umberpath.traffic.RequestRateLimiter;
import io.umberpath.traffic.routing.BackendLoad;
import io.umberpath.traffic.routing.LatencyAwareBalancer;
import io.umberpath.traffic.routing.RequestAgeEstimator;
import io.umberpath.traffic.routing.WeightedRoundRobin;
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

/**
 * Handles requests of clients, among them the local backend: finds the route, chooses a backend and
 * sends the request to the backend's node. Metrics and logs call this side {@code edge}.
 */
final class MeshOutboundHandler implements RequestHandler {
  private static final long RETRY_AFTER_NOT_READY_MILLIS = 300;
  private static final long RETRY_AFTER_NO_BACKEND_MILLIS = 100;

  private final MeshSettings settings;
  private final Supplier<MeshView> view;
  private final OriginConnectionPools origins;
  private final LatencyAwareBalancer balancer;
  private final PeerExchange peers;
  private final BackendNotices notices;
  private final RequestQuarantine quarantine;
  private final RequestEvents events;
  private final LongSupplier clockMillis;
  private final WeightedRoundRobin weightedRoundRobin = new WeightedRoundRobin();
  private final OutboundRetryPolicy retryPolicy;
  private final RequestAgeEstimator requestAges = new RequestAgeEstimator();
  private final RequestCosts costs = new RequestCosts();
  private final RouteDurations durations = new RouteDurations();
  private final LongResponseRoutes longResponseRoutes;
  private final RefusalStyle style = new MeshRefusalStyle();
  private final Set<String> replacedHeaders = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
  private volatile boolean draining;
  private volatile boolean refusingRequests;
  private volatile ShutdownRefusalPolicy shutdownRefusals = ShutdownRefusalPolicy.REFUSE_NONE;

  /**
   * Creates the handler.
   *
   * @param retriedWorkShare share of the local backend's running requests that may have run on
   *     another backend before; that share of its nested calls counts as retries
   */
  MeshOutboundHandler(
      MeshSettings settings,
      Supplier<MeshView> view,
      OriginConnectionPools origins,
      LatencyAwareBalancer balancer,
      PeerExchange peers,
      DoubleSupplier retriedWorkShare,
      MeshEvents events,
      LongSupplier clockMillis) {
    this.settings = settings;
    this.view = view;
    this.origins = origins;
    this.balancer = balancer;
    this.peers = peers;
    this.notices = peers.notices();
    this.quarantine = peers.quarantine();
    this.events = events.requests();
    this.longResponseRoutes = new LongResponseRoutes(this.events);
    this.clockMillis = clockMillis;
    this.retryPolicy =
        new OutboundRetryPolicy(settings.retry(), peers::nodeCount, retriedWorkShare);
    replacedHeaders.add(settings.headers().deadline());
    replacedHeaders.add(settings.headers().callerService());
    replacedHeaders.add(settings.headers().expectedInstance());
    replacedHeaders.add(Header.Expect.toString());
  }

  /** From now on responses ask clients to send their next request elsewhere. */
  void startDraining() {
    draining = true;
  }

  RouteDurations durations() {
    return durations;
  }

  RouteSummaries summaries() {
    return events.summaries();
  }

  /** Sets which requests are refused as not run in a graceful shutdown. */
  void setShutdownRefusals(ShutdownRefusalPolicy policy) {
    shutdownRefusals = policy;
  }

  /** From now on all requests are refused as not run. */
  void refuseRequests() {
    refusingRequests = true;
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
    if (refusingRequests) {
      return Either.left(draining());
    }
    MeshView current = view.get();
    if (!current.isComplete()) {
      return Either.left(
          new Refusal(new Verdict.NotRun(Verdict.Reason.NOT_READY), RETRY_AFTER_NOT_READY_MILLIS));
    }
    Optional<String> requestId = head.field(settings.headers().requestId());
    Optional<Long> clientTimeout = clientTimeout(head);
    if (requestId.isEmpty() || clientTimeout.isEmpty()) {
      return Either.left(Refusal.notRun(Verdict.Reason.BAD_REQUEST));
    }
    Optional<RoutingRule> rule =
        current.routingTable().match(head.field(Header.Host.toString()).orElse(""), head.path());
    if (rule.isEmpty()) {
      return Either.left(Refusal.notRun(Verdict.Reason.NO_ROUTE));
    }
    long deadlineMillis = arrivedMillis + Math.min(clientTimeout.get(), rule.get().timeoutMillis());
    if (shutdownRefusals.shouldRefuse(rule.get(), deadlineMillis, clockMillis.getAsLong())) {
      return Either.left(draining());
    }
    boolean isClientRetry = isClientRetry(rule.get(), clientTimeout.get());
    return Either.right(
        plan(
            head,
            requestId.get(),
            rule.get(),
            current.version(),
            arrivedMillis,
            deadlineMillis,
            isClientRetry));
  }

  private MeshOutboundPlan plan(
      RequestHead head,
      String requestId,
      RoutingRule rule,
      long version,
      long arrivedMillis,
      long deadlineMillis,
      boolean isClientRetry) {
    String service;
    synchronized (weightedRoundRobin) {
      service = weightedRoundRobin.next(rule);
    }
    retryPolicy.recordRequest(clockMillis.getAsLong(), rule.name(), service);
    return new MeshOutboundPlan(
        requestId,
        rule,
        service,
        version,
        deadlineMillis,
        arrivedMillis,
        Fingerprints.hashTarget(head),
        isClientRetry,
        replacedHeaders,
        new RetryState());
  }

  private boolean isClientRetry(RoutingRule rule, long clientTimeoutMillis) {
    synchronized (requestAges) {
      return requestAges.ageMillis(rule.name(), clientTimeoutMillis) > 0;
    }
  }

  /**
   * Returns the timeout that the client set, milliseconds: a very long one if it set none, empty if
   * it is malformed.
   */
  private Optional<Long> clientTimeout(RequestHead head) {
    Optional<String> text = head.field(settings.headers().deadline());
    return text.isEmpty() ? Optional.of((long) Integer.MAX_VALUE) : Headers.number(text.get());
  }

  @Override
  public void dispatch(Exchange exchange) {
    long now = clockMillis.getAsLong();
    MeshOutboundPlan plan = planOf(exchange);
    if (plan.deadlineMillis() <= now) {
      exchange.refuse(Refusal.notRun(Verdict.Reason.DEADLINE));
      return;
    }
    if (!exchange.body().isBuffered()) {
      awaitBody(exchange);
      return;
    }
    if (refuseIfQuarantined(exchange, plan)) {
      return;
    }
    List<BackendEntry> candidates = peers.readyBackends(plan.service());
    Set<String> silent = peers.unavailableBackends(candidates);
    boolean mayBeRefusedForLoad = mayBeRefusedForLoad(exchange, plan);
    Set<String> excluded = plan.retryState().excludedBackends(mayBeRefusedForLoad);
    LatencyAwareBalancer.RequestConstraints constraints = costs.constraints(exchange, plan, now);
    Optional<LatencyAwareBalancer.Choice> choice;
    synchronized (balancer) {
      choice = balancer.pick(now, candidates, constraints, excluded, silent);
      if (choice.isEmpty()) {
        Set<String> failed = plan.retryState().excludedBackends(false);
        choice = balancer.pick(now, candidates, constraints, failed, silent);
      }
      choice.ifPresent(chosen -> recordStart(now, chosen.backend().id(), constraints.isUpload()));
    }
    if (choice.isEmpty()) {
      exchange.refuse(exchange.history().lastRefusal().orElseGet(MeshOutboundHandler::noBackend));
      return;
    }
    BackendEntry chosen = choice.get().backend();
    plan.retryState()
        .setToleratedWaitMillis(
            mayBeRefusedForLoad
                ? choice.get().toleratedWaitMillis()
                : LatencyAwareBalancer.ANY_WAIT_MILLIS);
    PeerAddress peerInbound = new PeerAddress(chosen.address().host(), settings.inbound().port());
    if (!exchange.sendTo(origins.poolOf(peerInbound), chosen.id())) {
      synchronized (balancer) {
        balancer.finished(now, chosen.id(), new Verdict.NotRun(Verdict.Reason.CANCELLED));
      }
    }
  }

  private void recordStart(long nowMillis, String backendId, boolean isUpload) {
    if (isUpload) {
      balancer.startedUpload(nowMillis, backendId);
    } else {
      balancer.started(nowMillis, backendId);
    }
  }

  /** Waits for the whole body, so that the body can be sent as soon as a backend is chosen. */
  private static void awaitBody(Exchange exchange) {
    if (exchange.request().field(Header.Expect.toString()).isPresent()) {
      exchange.sendContinue();
    }
    exchange.dispatchOnceBodyBuffered();
  }

  /**
   * Refuses the request if it is quarantined; returns whether it was refused. The refusal has no
   * retry time, since a retry would be refused again.
   */
  private boolean refuseIfQuarantined(Exchange exchange, MeshOutboundPlan plan) {
    // Crashes caused by earlier tries of the same request count too: when each try of a client
    // started at zero, one request crashed 25 backends, two per try.
    boolean isQuarantined =
        quarantine.mayBeQuarantined(plan.targetHash())
            && Fingerprints.of(exchange, plan.targetHash())
                .filter(quarantine::blocksOutbound)
                .isPresent();
    if (isQuarantined) {
      exchange.refuse(Refusal.notRun(Verdict.Reason.QUARANTINED));
    }
    return isQuarantined;
  }

  private static Refusal draining() {
    return new Refusal(new Verdict.NotRun(Verdict.Reason.DRAINING), RETRY_AFTER_NO_BACKEND_MILLIS);
  }

  private static Refusal noBackend() {
    return new Refusal(
        new Verdict.NotRun(Verdict.Reason.NO_BACKEND), RETRY_AFTER_NO_BACKEND_MILLIS);
  }

  @Override
  public Optional<Refusal> refusalBeforeSending(RequestPlan plan, long nowMillis) {
    if (refusingRequests || shutdownRefusals.isTooLate((MeshOutboundPlan) plan, nowMillis)) {
      return Optional.of(draining());
    }
    return RequestHandler.super.refusalBeforeSending(plan, nowMillis);
  }

  @Override
  public void addHeaders(Exchange exchange, HttpRequestPacket outgoing, long nowMillis) {
    MeshOutboundPlan plan = planOf(exchange);
    HeaderNames names = settings.headers();
    long remainingMillis = plan.deadlineMillis() - nowMillis;
    set(outgoing, names.deadline(), Long.toString(remainingMillis));
    Headers.addUnread(exchange, outgoing);
    set(outgoing, names.callerService(), settings.service());
    HopHeader hop =
        new HopHeader(
            exchange.currentOrigin(),
            plan.route(),
            RequestTimes.dueInMillis(plan, nowMillis),
            plan.retryState().toleratedWaitMillis(),
            RequestTimes.targetInMillis(plan, nowMillis),
            RequestTimes.refuseWithinMillis(plan, nowMillis),
            Math.min(
                RequestTimes.startWithinMillis(plan, nowMillis),
                shutdownRefusals.startWithinMillis(plan, nowMillis)),
            plan.retryState().possiblyDeliveredCount() > 0);
    set(outgoing, HopHeader.HEADER, hop.encode());
    // The node beside the backend may have restarted since this one forwarded the announcement.
    notices
        .findLatest(exchange.currentOrigin())
        .ifPresent(notice -> set(outgoing, NoticeHeader.HEADER, notice.encode()));
  }

  /** A refusal for load costs little: long bodies are sent only after 100 (Continue). */
  private static boolean mayBeRefusedForLoad(Exchange exchange, MeshOutboundPlan plan) {
    return plan.retryState().overloadRefusalCount() < OutboundRetryPolicy.MAX_OVERLOAD_REFUSALS
        && exchange.body().isReplayable();
  }

  private static void set(HttpRequestPacket packet, String name, String value) {
    packet.getHeaders().setValue(name).setString(value);
  }

  @Override
  public boolean mayRunConcurrently(RequestPlan plan) {
    return ((MeshOutboundPlan) plan).rule().kind().isRepeatable()
        && !longResponseRoutes.contains(plan.route(), clockMillis.getAsLong());
  }

  @Override
  public void onLongResponse(RequestPlan plan) {
    longResponseRoutes.record(plan, clockMillis.getAsLong());
  }

  @Override
  public boolean isDraining() {
    return draining;
  }

  @Override
  public String requestIdForResponse(RequestPlan plan) {
    return null;
  }

  @Override
  public boolean forwardsInterimResponse(RequestPlan plan, byte[] head) {
    // One without the id of the request may be surplus bytes of an earlier response.
    return RawHead.hasField(head, settings.headers().requestId(), plan.requestId());
  }

  @Override
  public Optional<Refusal> refusalInResponse(Exchange exchange, ResponseHead head) {
    MeshOutboundPlan plan = planOf(exchange);
    recordBackendLoad(exchange.currentOrigin(), plan.route(), head);
    recordBackendNotice(exchange.currentOrigin(), head);
    Optional<String> verdict = head.field(ProxyHeaders.VERDICT);
    if (verdict.isPresent()) {
      return VerdictHeader.parse(verdict.get())
          .map(each -> new Refusal(verdictFromPeer(each), Headers.retryAfterMillis(head), true));
    }
    costs.recordResponse(plan.route(), head.contentLength());
    boolean isOwnResponse =
        head.field(settings.headers().requestId()).filter(plan.requestId()::equals).isPresent();
    return isOwnResponse
        ? Optional.empty()
        : Optional.of(Refusal.mayHaveRun(Verdict.Reason.BAD_ANSWER));
  }

  /**
   * Maps the verdict of another node. This node has parsed the request, so it is not the client's
   * fault if another node cannot read it.
   */
  private static Verdict verdictFromPeer(Verdict verdict) {
    boolean isUnreadable = verdict.equals(new Verdict.NotRun(Verdict.Reason.BAD_REQUEST));
    return isUnreadable ? new Verdict.NotRun(Verdict.Reason.UNREADABLE) : verdict;
  }

  private void recordBackendLoad(String backend, String route, ResponseHead head) {
    BackendLoad load =
        head.field(MeshInboundHandler.LOAD_HEADER).map(BackendLoad::decode).orElse(null);
    if (head.field(MeshInboundHandler.NESTED_HEADER).isPresent()) {
      retryPolicy.addNestedRoute(route);
    }
    if (load != null) {
      synchronized (balancer) {
        balancer.updateLoad(clockMillis.getAsLong(), backend, load);
        balancer.updateRouteTime(clockMillis.getAsLong(), backend, route, load.routeMicros());
      }
    }
  }

  private void recordBackendNotice(String backend, ResponseHead head) {
    Optional<NoticeHeader> received = head.field(NoticeHeader.HEADER).flatMap(NoticeHeader::decode);
    if (received.isEmpty()) {
      return;
    }
    NoticeHeader header = received.get();
    notices.merge(new BackendStart(backend, header.startTimeMillis()), header.notice());
    double intervalMillis = RequestRateLimiter.intervalMillis(header.notice().requestsPerSecond());
    synchronized (balancer) {
      balancer.updateRateLimit(
          clockMillis.getAsLong(), backend, header.startWaitMillis(), intervalMillis);
    }
  }

  @Override
  public void attemptEnded(Exchange exchange, String originId, Refusal refusal, long micros) {
    Verdict verdict = refusal == null ? new Verdict.Completed() : refusal.verdict();
    synchronized (balancer) {
      balancer.finished(clockMillis.getAsLong(), originId, verdict);
    }
    RetryState retryState = planOf(exchange).retryState();
    if (OutboundRetryPolicy.mayHaveReachedBackend(verdict)) {
      retryState.recordPossiblyDelivered(originId);
    } else if (((Verdict.NotRun) verdict).reason() == Verdict.Reason.OVERLOADED) {
      recordOverloadRefusal(planOf(exchange), originId);
    } else {
      retryState.recordNotDelivered(originId);
    }
  }

  private void recordOverloadRefusal(MeshOutboundPlan plan, String backend) {
    RetryState retryState = plan.retryState();
    boolean isRateLimited =
        notices.findLatest(backend).filter(held -> held.notice().isLimited()).isPresent();
    if (isRateLimited && hasUntriedBackendWithoutLimit(plan)) {
      retryState.recordRateLimitRefusal(backend);
    } else {
      retryState.recordOverloadRefusal(backend);
    }
  }

  private boolean hasUntriedBackendWithoutLimit(MeshOutboundPlan plan) {
    Set<String> tried = plan.retryState().excludedBackends(true);
    return peers.readyBackends(plan.service()).stream()
        .anyMatch(
            candidate ->
                !tried.contains(candidate.id()) && !notices.find(candidate.start()).isLimited());
  }

  @Override
  public boolean mayRetry(Exchange exchange, Verdict verdict) {
    MeshOutboundPlan plan = planOf(exchange);
    String noRetryReason =
        retryPolicy.noRetryReason(exchange, plan, verdict, clockMillis.getAsLong());
    boolean willRetry = noRetryReason.isEmpty();
    events.attemptFailed(
        plan,
        String.valueOf(exchange.history().lastOrigin()),
        Fingerprints.logText(exchange, plan.targetHash(), verdict),
        verdict,
        willRetry ? "" : noRetryReason);
    return willRetry;
  }

  @Override
  public void requestEnded(Exchange exchange, Verdict verdict) {
    MeshOutboundPlan plan = planOf(exchange);
    if (plan == null) {
      events.requestWithoutPlanEnded(exchange, verdict);
      return;
    }
    long millis = clockMillis.getAsLong() - plan.arrivedMillis();
    boolean isCompleted = verdict instanceof Verdict.Completed;
    if (isCompleted && exchange.responseStatus() < LocalBackendFailures.FIRST_SERVER_ERROR) {
      durations.record(plan.route(), millis);
    }
    events.requestEnded(exchange, plan, verdict, millis);
  }

  private static MeshOutboundPlan planOf(Exchange exchange) {
    return (MeshOutboundPlan) exchange.plan();
  }
}
