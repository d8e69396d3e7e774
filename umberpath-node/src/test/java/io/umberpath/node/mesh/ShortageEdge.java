package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.traffic.routing.BackendLoad;
import io.umberpath.traffic.routing.LatencyAwareBalancer;
import io.umberpath.traffic.routing.RequestAgeEstimator;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** The side of a node of {@link ShortageModel} that sends requests to the nodes of backends. */
final class ShortageEdge {
  private static final double ZONE_MILLIS = 0.1;
  private static final double OTHER_ZONE_MILLIS = 1.4;
  private static final double REQUEST_BYTES = 1_000;
  private static final long RETRY_AFTER_NO_BACKEND_MILLIS = 100;
  private static final MeshSettings.Retry RETRY_BOUNDS = new MeshSettings.Retry(10_000, 0.2, 64);

  /** How a request ended for its sender. */
  enum Outcome {
    SERVED,
    REFUSED,
    FAILED
  }

  /**
   * End of a request.
   *
   * @param retryAfterMillis when its sender may return; 0 if not said
   * @param hasRun whether a backend may have worked on it
   */
  record Result(Outcome outcome, long retryAfterMillis, boolean hasRun) {}

  /** A request, from its arrival at this node to its response. */
  final class Request {
    final ShortageKind kind;
    final MeshOutboundPlan plan;
    final double workMillis;
    final boolean makesCall;
    private final Consumer<Result> onEnd;
    private ShortageGate.Attempt attempt;
    private int attempts;
    private long retryAfterMillis;
    private boolean isEnded;

    Request(
        ShortageKind kind,
        MeshOutboundPlan plan,
        double workMillis,
        boolean makesCall,
        Consumer<Result> onEnd) {
      this.kind = kind;
      this.plan = plan;
      this.workMillis = workMillis;
      this.makesCall = makesCall;
      this.onEnd = onEnd;
    }

    boolean isEnded() {
      return isEnded;
    }

    private void end(Outcome outcome) {
      if (!isEnded) {
        isEnded = true;
        boolean hasRun = plan.retryState().possiblyDeliveredCount() > 0;
        onEnd.accept(new Result(outcome, retryAfterMillis, hasRun));
      }
    }

    /** Ends the request because its sender has left. */
    void cancel() {
      if (!isEnded) {
        isEnded = true;
        abandonAttempt();
      }
    }

    private void abandonAttempt() {
      if (attempt != null) {
        ShortageGate.Attempt abandoned = attempt;
        attempt = null;
        balancer.finished(
            time.millis(), abandoned.backendId(), new Verdict.MayHaveRun(Verdict.Reason.DEADLINE));
        time.schedule(latencyTo(abandoned.gate()), abandoned::cancel);
      }
    }

    private void expire() {
      if (!isEnded) {
        abandonAttempt();
        retryAfterMillis = 0;
        end(Outcome.FAILED);
      }
    }
  }

  private final ShortageModel model;
  private final VirtualTime time;
  private final String zone;
  private final String service;
  private final LatencyAwareBalancer balancer;
  private final OutboundRetryPolicy retryPolicy;
  private final RequestAgeEstimator requestAges = new RequestAgeEstimator();

  ShortageEdge(ShortageModel model, String zone, String service, ShortageGate local) {
    this.model = model;
    this.time = model.time();
    this.zone = zone;
    this.service = service;
    this.balancer = new LatencyAwareBalancer(zone, model.random()::nextDouble);
    this.retryPolicy =
        new OutboundRetryPolicy(RETRY_BOUNDS, model::nodeCount, local::retriedWorkShare);
  }

  String zone() {
    return zone;
  }

  double latencyTo(ShortageGate gate) {
    return gate.zone().equals(zone) ? ZONE_MILLIS : OTHER_ZONE_MILLIS;
  }

  /**
   * Receives a request.
   *
   * @param timeoutMillis what the sender has left
   */
  Request receive(
      ShortageKind kind,
      double timeoutMillis,
      double workMillis,
      boolean makesCall,
      Consumer<Result> onEnd) {
    long now = time.millis();
    long timeout = (long) timeoutMillis;
    boolean isRetry = requestAges.ageMillis(kind.rule.name(), timeout) > 0;
    retryPolicy.recordRequest(now, kind.rule.name(), kind.service);
    MeshOutboundPlan plan =
        new MeshOutboundPlan(
            model.nextRequestId(),
            kind.rule,
            kind.service,
            1,
            now + Math.min(timeout, kind.rule.timeoutMillis()),
            now,
            0,
            isRetry,
            Set.of(),
            new RetryState());
    Request request = new Request(kind, plan, workMillis, makesCall, onEnd);
    time.schedule(Math.max(0, plan.deadlineMillis() - now), request::expire);
    dispatch(request);
    return request;
  }

  private void dispatch(Request request) {
    long now = time.millis();
    RetryState state = request.plan.retryState();
    boolean mayBeRefused = state.overloadRefusalCount() < OutboundRetryPolicy.MAX_OVERLOAD_REFUSALS;
    List<BackendEntry> candidates = model.readyBackends(request.kind.service);
    LatencyAwareBalancer.RequestConstraints constraints =
        new LatencyAwareBalancer.RequestConstraints(
            request.kind.rule.name(),
            RequestTimes.targetInMillis(request.plan, now),
            RequestCosts.crossZoneCost(REQUEST_BYTES),
            request.kind.isUpload());
    LatencyAwareBalancer.Choice choice =
        balancer
            .pick(now, candidates, constraints, state.excludedBackends(mayBeRefused), Set.of())
            .or(
                () ->
                    balancer.pick(
                        now, candidates, constraints, state.excludedBackends(false), Set.of()))
            .orElse(null);
    if (choice == null) {
      request.retryAfterMillis = Math.max(request.retryAfterMillis, RETRY_AFTER_NO_BACKEND_MILLIS);
      request.end(Outcome.REFUSED);
      return;
    }
    String id = choice.backend().id();
    ShortageGate gate = model.gateOf(id);
    balancer.started(now, id);
    HopHeader hop =
        hop(
            request,
            id,
            mayBeRefused ? choice.toleratedWaitMillis() : LatencyAwareBalancer.ANY_WAIT_MILLIS);
    request.attempts++;
    ShortageGate.Attempt attempt = gate.createAttempt(this, request);
    request.attempt = attempt;
    time.schedule(latencyTo(gate), () -> attempt.arrive(hop, service));
  }

  private HopHeader hop(Request request, String id, long toleratedWaitMillis) {
    MeshOutboundPlan plan = request.plan;
    long now = time.millis();
    return new HopHeader(
        id,
        plan.route(),
        RequestTimes.dueInMillis(plan, now),
        toleratedWaitMillis,
        RequestTimes.targetInMillis(plan, now),
        RequestTimes.refuseWithinMillis(plan, now),
        RequestTimes.startWithinMillis(plan, now),
        plan.retryState().possiblyDeliveredCount() > 0);
  }

  /** Receives the response to an attempt, unless it was abandoned. */
  void onResponse(
      Request request,
      ShortageGate.Attempt attempt,
      Verdict verdict,
      boolean isSuccess,
      long retryAfterMillis,
      BackendLoad load,
      boolean isNestedRoute) {
    updateLoad(attempt.backendId(), load);
    balancer.updateRouteTime(
        time.millis(), attempt.backendId(), request.plan.route(), load.routeMicros());
    if (isNestedRoute) {
      retryPolicy.addNestedRoute(request.plan.route());
    }
    if (request.attempt != attempt) {
      return;
    }
    request.attempt = null;
    balancer.finished(time.millis(), attempt.backendId(), verdict);
    if (verdict instanceof Verdict.Completed) {
      request.retryAfterMillis = 0;
      request.end(isSuccess ? Outcome.SERVED : Outcome.FAILED);
      return;
    }
    request.retryAfterMillis = retryAfterMillis;
    recordFailure(request.plan.retryState(), attempt.backendId(), verdict);
    String noRetryReason =
        retryPolicy.noRetryReason(request.attempts, request.plan, verdict, time.millis());
    if (noRetryReason.isEmpty()) {
      dispatch(request);
    } else {
      request.end(verdict instanceof Verdict.NotRun ? Outcome.REFUSED : Outcome.FAILED);
    }
  }

  private static void recordFailure(RetryState state, String backendId, Verdict verdict) {
    if (OutboundRetryPolicy.mayHaveReachedBackend(verdict)) {
      state.recordPossiblyDelivered(backendId);
    } else if (((Verdict.NotRun) verdict).reason() == Verdict.Reason.OVERLOADED) {
      state.recordOverloadRefusal(backendId);
    } else {
      state.recordNotDelivered(backendId);
    }
  }

  /** Applies a load report or the load of a response. */
  void updateLoad(String backendId, BackendLoad load) {
    updateLoad(time.millis(), backendId, load);
  }

  void updateLoad(long madeMillis, String backendId, BackendLoad load) {
    balancer.updateLoad(madeMillis, backendId, load);
  }
}
