package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.model.routing.BackendStart;
import io.umberpath.node.proxy.SlotGate;
import io.umberpath.node.proxy.http.RawHead;
import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.node.proxy.http.ResponseHead;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.node.proxy.inbound.Headers;
import io.umberpath.node.proxy.inbound.Refusal;
import io.umberpath.node.proxy.inbound.RefusalStyle;
import io.umberpath.node.proxy.inbound.RequestHandler;
import io.umberpath.node.proxy.inbound.RequestPlan;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.proxy.stats.ProxyStats;
import io.umberpath.traffic.AdmissionController;
import io.umberpath.traffic.AdmissionController.AdmissionRequest;
import io.umberpath.traffic.routing.BackendLoad;
import io.umberpath.traffic.routing.NestedRouteDetector;
import io.umberpath.traffic.routing.RouteAverages;
import io.umberpath.traffic.routing.SlowdownDetector;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.Header;

/**
 * Handles requests of other nodes for the local backend. All requests to that backend pass through
 * this handler, so it knows exactly how many are running, and a request that it refuses before
 * sending the first byte has certainly not run. Metrics call this side {@code hop}, logs {@code
 * gate}.
 */
final class MeshInboundHandler implements RequestHandler {
  /** Load of the backend, in every response to another node. */
  static final String LOAD_HEADER = "Umberpath-Load";

  /** Set in responses of routes whose requests are sent by backends, not by external clients. */
  static final String NESTED_HEADER = "Umberpath-Nested";

  private static final int MISDIRECTED = 421;

  private static final Verdict CONNECTION_LOST =
      new Verdict.MayHaveRun(Verdict.Reason.CONNECTION_LOST);
  private static final long MICROS_PER_MILLI = 1_000;

  /** Requests of a route after which its mean duration is used. */
  private static final int MIN_TIME_SAMPLES = 5;

  private final MeshSettings settings;
  private final ConnectionPool pool;
  private final SlotGate admissionQueue;
  private final BodyUploadScheduler uploads;
  private final LocalBackend backend;
  private final RequestQuarantine quarantine;
  private final BackendCrashDetector crashDetector;
  private final LocalBackendSpeed speed;
  private final MeshEvents events;
  private final RequestEvents requestEvents;
  private final LongSupplier clockMillis;
  private final RouteAverages routeTimes = new RouteAverages(MIN_TIME_SAMPLES);
  private final NestedRouteDetector nestedRouteDetector = new NestedRouteDetector();
  private final LocalBackendFailures failures;
  private final LocalBackendLoad load;
  private volatile double retriedWorkShare;
  private long observedStartTimeMillis = BackendStart.UNKNOWN_START_TIME_MILLIS;
  private final RefusalStyle style = new MeshRefusalStyle();
  private final Set<String> replacedHeaders = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);

  MeshInboundHandler(
      MeshSettings settings,
      ConnectionPool pool,
      AdmissionController admission,
      LocalBackend backend,
      RequestQuarantine quarantine,
      MeshEvents events,
      LongSupplier clockMillis) {
    this.settings = settings;
    this.speed = backend.speed();
    this.pool = pool;
    this.backend = backend;
    this.quarantine = quarantine;
    this.crashDetector = new BackendCrashDetector(pool, clockMillis);
    this.events = events;
    this.requestEvents = events.requests();
    this.failures = new LocalBackendFailures(events);
    this.clockMillis = clockMillis;
    this.admissionQueue = new SlotGate(admission, this::send, clockMillis);
    this.uploads =
        new BodyUploadScheduler(
            exchange -> isAccepted(exchange.plan()), requestEvents, clockMillis);
    this.load = new LocalBackendLoad(backend, admissionQueue, uploads, failures, clockMillis);
    replacedHeaders.add(settings.headers().deadline());
    replacedHeaders.add(settings.headers().expectedInstance());
    replacedHeaders.add(Header.Expect.toString());
  }

  /**
   * Sends an admitted request. While the request was queued, the backend may have started to drain,
   * or the request may have been quarantined because it crashed other backends.
   */
  private boolean send(Exchange exchange) {
    MeshInboundPlan plan = planOf(exchange);
    if (!isAccepted(plan)) {
      exchange.refuse(Refusal.notRun(Verdict.Reason.DRAINING));
      return false;
    }
    if (isQuarantined(exchange, plan)) {
      exchange.refuse(Refusal.notRun(Verdict.Reason.QUARANTINED));
      return false;
    }
    return exchange.sendTo(pool, plan.instance());
  }

  private boolean isAccepted(RequestPlan plan) {
    return backend.acceptsNewWork(((MeshInboundPlan) plan).instance());
  }

  RouteSummaries summaries() {
    return requestEvents.summaries();
  }

  SlotGate admissionQueue() {
    return admissionQueue;
  }

  /** Refuses queued requests for instances of the backend that take no new work any more. */
  void refuseUnacceptedQueued() {
    admissionQueue.refuseQueued(exchange -> !isAccepted(exchange.plan()));
    uploads.refuseUnacceptedQueued();
  }

  /** Refuses requests that can no longer be served in time. */
  void tick(long nowMillis) {
    uploads.tick(nowMillis);
    admissionQueue.tick(nowMillis);
  }

  /**
   * Checks whether the backend has crashed. Its running requests become suspects unless it was
   * draining.
   *
   * @return id of the crashed start
   */
  Optional<String> detectCrash() {
    Optional<BackendCrashDetector.Crash> crash = crashDetector.pollCrash(this::isAnySentBefore);
    crash.filter(each -> backend.isServing(each.backend())).ifPresent(this::recordCrash);
    return crash.map(BackendCrashDetector.Crash::backend);
  }

  private boolean isAnySentBefore(String instance, long atMillis) {
    long elapsedMicros = (clockMillis.getAsLong() - atMillis) * MICROS_PER_MILLI;
    return admissionQueue.exchangesHoldingSlot().stream()
        .filter(exchange -> planOf(exchange).instance().equals(instance))
        .anyMatch(exchange -> exchange.history().sinceSentMicros() > elapsedMicros);
  }

  private void recordCrash(BackendCrashDetector.Crash crash) {
    int runningCount = crash.requests().size();
    crash
        .requests()
        .forEach(request -> events.backendEnded(crash.backend(), request, runningCount));
    quarantine.recordBackendCrash(backend.startOf(crash.backend()), crash.requests());
  }

  /**
   * Updates the backend's slowdown from the age of running requests, and the share of retries among
   * them.
   */
  void observe() {
    resetAfterRestart();
    synchronized (routeTimes) {
      routeTimes.expire(clockMillis.getAsLong());
    }
    List<SlowdownDetector.Running> running = new ArrayList<>();
    int retries = 0;
    for (Exchange exchange : admissionQueue.exchangesHoldingSlot()) {
      long expectedDurationMicros = expectedMicros(planOf(exchange).route());
      running.add(
          new SlowdownDetector.Running(
              exchange.history().sinceSentMicros(), expectedDurationMicros));
      retries += planOf(exchange).hop().isRetry() ? 1 : 0;
    }
    speed.observeRunning(running);
    retriedWorkShare = running.isEmpty() ? 0 : retries / (double) running.size();
  }

  /** Discards measurements when the backend has restarted; they do not apply to the new process. */
  private void resetAfterRestart() {
    long startTimeMillis = backend.startTimeMillis();
    if (startTimeMillis != observedStartTimeMillis) {
      observedStartTimeMillis = startTimeMillis;
      failures.reset();
      synchronized (routeTimes) {
        routeTimes.clear();
      }
      speed.reset();
    }
  }

  /**
   * Returns the share of the backend's running requests that may have run on another backend
   * before.
   */
  double retriedWorkShare() {
    return retriedWorkShare;
  }

  /** Returns the load of the backend and of the link to this machine. */
  LocalBackendLoad backendLoad() {
    return load;
  }

  private long expectedMicros(String route) {
    synchronized (routeTimes) {
      return routeTimes.average(route);
    }
  }

  private AdmissionRequests.WorkTime workTime(String route) {
    double slowdown = speed.slowdown();
    synchronized (routeTimes) {
      return new AdmissionRequests.WorkTime(
          Math.round(slowdown * routeTimes.average(route)),
          Math.round(slowdown * routeTimes.upperEstimate(route)));
    }
  }

  @Override
  public ProxyStats.Side side() {
    return ProxyStats.Side.HOP;
  }

  @Override
  public RefusalStyle refusalStyle() {
    return style;
  }

  @Override
  public Either<Refusal, RequestPlan> plan(RequestHead head, long arrivedMillis) {
    Optional<String> requestId = head.field(settings.headers().requestId());
    Optional<HopHeader> hop = head.field(HopHeader.HEADER).flatMap(HopHeader::decode);
    Optional<Long> remainingMillis =
        head.field(settings.headers().deadline()).flatMap(Headers::number);
    if (requestId.isEmpty() || hop.isEmpty() || remainingMillis.isEmpty()) {
      String missing = firstMissingHeader(requestId.isPresent(), hop.isPresent());
      requestEvents.gateHeadRefused(requestId.orElse(""), missing);
      return Either.left(Refusal.notRun(Verdict.Reason.BAD_REQUEST));
    }
    return Either.right(
        new MeshInboundPlan(
            requestId.get(),
            hop.get(),
            arrivedMillis + remainingMillis.get(),
            Headers.unreadMillis(head),
            arrivedMillis,
            Fingerprints.hashTarget(head),
            replacedHeaders));
  }

  private String firstMissingHeader(boolean hasRequestId, boolean hasHop) {
    if (!hasRequestId) {
      return settings.headers().requestId();
    }
    return hasHop ? settings.headers().deadline() : HopHeader.HEADER;
  }

  @Override
  public void dispatch(Exchange exchange) {
    MeshInboundPlan plan = planOf(exchange);
    recordRememberedNotice(exchange, plan);
    if (!isAccepted(plan)) {
      exchange.refuse(Refusal.notRun(Verdict.Reason.DRAINING));
      return;
    }
    if (isQuarantined(exchange, plan)) {
      exchange.refuse(Refusal.notRun(Verdict.Reason.QUARANTINED));
      return;
    }
    if (!exchange.body().isBuffered()) {
      // A slot that waits for a body does no work, so the request is not queued for a slot yet.
      if (BodyUploadScheduler.isAwaited(exchange)) {
        uploads.enqueue(exchange, id -> bodyAdmission(id, exchange));
      }
      exchange.dispatchOnceBodyBuffered();
      return;
    }
    uploads.release(exchange);
    admissionQueue.requestSlot(exchange, id -> slotAdmission(id, exchange));
  }

  private AdmissionRequest slotAdmission(long id, Exchange exchange) {
    MeshInboundPlan plan = planOf(exchange);
    recordCaller(exchange);
    return AdmissionRequests.forSlot(
        id,
        plan,
        workTime(plan.route()),
        BodyUploadScheduler.isAwaited(exchange),
        isNested(plan.route()));
  }

  private AdmissionRequest bodyAdmission(long id, Exchange exchange) {
    MeshInboundPlan plan = planOf(exchange);
    return AdmissionRequests.forBody(
        id,
        plan,
        workTime(plan.route()),
        uploads.meanTransferMicros(),
        load.reported().slotWaitMicros(),
        isNested(plan.route()));
  }

  /**
   * Returns whether the request is quarantined. The client's node checks this first; the check here
   * covers nodes that have not received the report yet.
   */
  private boolean isQuarantined(Exchange exchange, MeshInboundPlan plan) {
    return quarantine.mayBeQuarantined(plan.targetHash())
        && Fingerprints.of(exchange, plan.targetHash())
            .filter(quarantine::blocksInbound)
            .isPresent();
  }

  private void recordCaller(Exchange exchange) {
    String callerService = exchange.request().field(settings.headers().callerService()).orElse("");
    synchronized (nestedRouteDetector) {
      nestedRouteDetector.recordRequest(planOf(exchange).route(), callerService);
    }
  }

  private boolean isNested(String route) {
    synchronized (nestedRouteDetector) {
      return nestedRouteDetector.isNested(route);
    }
  }

  @Override
  public Optional<Refusal> refusalBeforeSending(RequestPlan plan, long nowMillis) {
    if (!isAccepted(plan)) {
      return Optional.of(Refusal.notRun(Verdict.Reason.DRAINING));
    }
    return RequestHandler.super.refusalBeforeSending(plan, nowMillis);
  }

  @Override
  public void addHeaders(Exchange exchange, HttpRequestPacket outgoing, long nowMillis) {
    MeshInboundPlan plan = planOf(exchange);
    long remainingMillis = plan.deadlineMillis() - nowMillis;
    HeaderNames names = settings.headers();
    outgoing.getHeaders().setValue(names.deadline()).setString(Long.toString(remainingMillis));
    outgoing.getHeaders().setValue(names.expectedInstance()).setString(plan.instance());
  }

  @Override
  public String requestIdForResponse(RequestPlan plan) {
    return plan == null ? null : plan.requestId();
  }

  @Override
  public void addResponseHeaders(RequestPlan plan, HttpResponsePacket response) {
    BackendLoad reported =
        plan == null ? load.reported() : load.reported().withRoute(expectedMicros(plan.route()));
    response.getHeaders().setValue(LOAD_HEADER).setString(reported.encode());
    if (plan == null) {
      return;
    }
    if (isNested(plan.route())) {
      response.getHeaders().setValue(NESTED_HEADER).setString("1");
    }
    backend
        .noticeOf(((MeshInboundPlan) plan).instance())
        .ifPresent(
            notice ->
                response.getHeaders().setValue(NoticeHeader.HEADER).setString(notice.encode()));
  }

  @Override
  public boolean forwardsInterimResponse(RequestPlan plan, byte[] head) {
    // One without the id of the request may be surplus bytes of an earlier response.
    return RawHead.hasField(head, settings.headers().requestId(), plan.requestId());
  }

  @Override
  public Optional<Refusal> refusalInResponse(Exchange exchange, ResponseHead head) {
    HeaderNames names = settings.headers();
    MeshInboundPlan plan = planOf(exchange);
    if (!head.field(names.requestId()).equals(Optional.of(plan.requestId()))) {
      // Surplus bytes of an earlier response, or no response at all: they say nothing of this one.
      return Optional.of(Refusal.mayHaveRun(Verdict.Reason.BAD_ANSWER));
    }
    speed.recordLoadReport(head.field(names.backendLoad()).orElse(null));
    recordNotice(exchange, head);
    Optional<String> instance = head.field(names.instance());
    if (head.status() == MISDIRECTED) {
      instance.ifPresent(other -> backend.recordRespondingInstance(plan.instance(), other));
    }
    boolean notExecuted = head.field(names.notExecuted()).isPresent();
    return notExecuted || head.status() == MISDIRECTED
        ? Optional.of(new Refusal(new Verdict.NotRun(Verdict.Reason.REJECTED), 0, true))
        : Optional.empty();
  }

  /** Records what the sending node remembers of the backend, before its request is admitted. */
  private void recordRememberedNotice(Exchange exchange, MeshInboundPlan plan) {
    exchange
        .request()
        .field(NoticeHeader.HEADER)
        .flatMap(NoticeHeader::decode)
        .ifPresent(remembered -> backend.recordRememberedNotice(plan.instance(), remembered));
  }

  /** Records what a response to the current request announces, also if it is not forwarded. */
  private void recordNotice(Exchange exchange, ResponseHead head) {
    MeshInboundPlan plan = planOf(exchange);
    Optional<String> instance = head.field(settings.headers().instance());
    boolean isFromUnknownInstance = head.status() == MISDIRECTED && instance.isEmpty();
    if (!isFromUnknownInstance) {
      long sentMillis = clockMillis.getAsLong() - exchange.history().sinceSentMillis();
      backend.recordNotice(instance.orElse(plan.instance()), head, sentMillis);
    }
  }

  @Override
  public void attemptEnded(Exchange exchange, String originId, Refusal refusal, long micros) {
    // The slot is released when the request ends; this side makes a single attempt.
    MeshInboundPlan plan = planOf(exchange);
    failures.recordAttempt(
        clockMillis.getAsLong(), plan.instance(), refusal, exchange.responseStatus());
    if (refusal == null) {
      long sentMillis = clockMillis.getAsLong() - exchange.history().sinceSentMillis();
      crashDetector.responseReceived(plan.instance(), sentMillis);
      long usualMicros = speed.recordDuration(plan.route(), exchange.history().sinceSentMicros());
      synchronized (routeTimes) {
        routeTimes.add(clockMillis.getAsLong(), plan.route(), usualMicros);
      }
      if (exchange.responseStatus() < LocalBackendFailures.FIRST_SERVER_ERROR) {
        Fingerprints.of(exchange, plan.targetHash()).ifPresent(quarantine::recordSuccess);
      }
    } else if (refusal.verdict().equals(CONNECTION_LOST)) {
      Fingerprints.of(exchange, plan.targetHash())
          .ifPresent(request -> crashDetector.connectionLost(plan.instance(), request));
    }
  }

  @Override
  public boolean mayRetry(Exchange exchange, Verdict verdict) {
    return false;
  }

  @Override
  public void requestEnded(Exchange exchange, Verdict verdict) {
    uploads.release(exchange);
    admissionQueue.ended(exchange);
    MeshInboundPlan plan = planOf(exchange);
    if (plan == null) {
      return;
    }
    long millis = clockMillis.getAsLong() - plan.arrivedMillis();
    requestEvents.gateRequestEnded(exchange, plan, verdict, millis);
    if (!(verdict instanceof Verdict.Completed)) {
      requestEvents.gateFailed(
          plan,
          Fingerprints.logText(exchange, plan.targetHash(), verdict),
          verdict,
          load,
          millis,
          exchange.age().unreadMillis());
    }
  }

  private static MeshInboundPlan planOf(Exchange exchange) {
    return (MeshInboundPlan) exchange.plan();
  }
}
