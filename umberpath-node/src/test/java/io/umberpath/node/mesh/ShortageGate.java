package io.umberpath.node.mesh;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Verdict;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.traffic.AdmissionController;
import io.umberpath.traffic.AdmissionController.Decision;
import io.umberpath.traffic.AdmissionControllers;
import io.umberpath.traffic.load.BackendSpeed;
import io.umberpath.traffic.load.BackendStatement;
import io.umberpath.traffic.outlier.AttemptResult;
import io.umberpath.traffic.outlier.FailureRate;
import io.umberpath.traffic.routing.BackendLoad;
import io.umberpath.traffic.routing.NestedRouteDetector;
import io.umberpath.traffic.routing.RouteAverages;
import io.umberpath.traffic.routing.SlowdownDetector;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The side of a node of {@link ShortageModel} that admits requests to the backend beside it. */
final class ShortageGate {
  static final int SLOTS = 6;
  private static final long MIN_RETRY_AFTER_MILLIS = 30;
  private static final int MIN_TIME_SAMPLES = 5;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final int WARMUP_MILLIS = 3_000;
  private static final double COLD_FACTOR = 2;
  private static final Verdict NOT_REACHED = new Verdict.NotRun(Verdict.Reason.UNREACHABLE);
  private static final Verdict LOST = new Verdict.MayHaveRun(Verdict.Reason.CONNECTION_LOST);

  /** One attempt of a request at this gate. */
  final class Attempt {
    private final ShortageEdge edge;
    private final ShortageEdge.Request request;
    private final long id = ++lastId;
    private MeshInboundPlan plan;
    private boolean isEnded;
    private double startedMillis = -1;
    private double remainingMillis;
    private double progressMillis;
    private long version;
    private boolean hasCalled;
    private ShortageEdge.Request call;

    private Attempt(ShortageEdge edge, ShortageEdge.Request request) {
      this.edge = edge;
      this.request = request;
    }

    ShortageGate gate() {
      return ShortageGate.this;
    }

    String backendId() {
      return entry.id();
    }

    private boolean isStarted() {
      return startedMillis >= 0;
    }

    private boolean isWorking() {
      return isStarted() && !isEnded && call == null;
    }

    private long sinceSentMicros() {
      return Math.max(1, Math.round((time.exactMillis() - startedMillis) * MICROS_PER_MILLI));
    }

    void arrive(HopHeader hop, String callerService) {
      if (isEnded) {
        return;
      }
      plan =
          new MeshInboundPlan(
              request.plan.requestId(),
              hop,
              request.plan.deadlineMillis(),
              0,
              time.millis(),
              0,
              Set.of());
      nestedRoutes.recordRequest(plan.route(), callerService);
      byId.put(id, this);
      apply(
          admission.submit(
              time.millis(),
              AdmissionRequests.forSlot(
                  id,
                  plan,
                  workTime(plan.route()),
                  request.kind.isUpload(),
                  nestedRoutes.isNested(plan.route()))));
    }

    private void start() {
      if (isLost) {
        leave();
        respond(NOT_REACHED, false, 0);
        return;
      }
      startedMillis = time.exactMillis();
      remainingMillis = request.makesCall ? request.workMillis / 2 : request.workMillis;
      model.tally().started(request.kind);
      scheduleEnd();
    }

    private void scheduleEnd() {
      long scheduled = ++version;
      progressMillis = time.exactMillis();
      time.schedule(
          remainingMillis / rate(),
          () -> {
            if (scheduled == version && isWorking()) {
              endPart();
            }
          });
    }

    private void advance() {
      remainingMillis -= (time.exactMillis() - progressMillis) * rate();
      progressMillis = time.exactMillis();
    }

    private void endPart() {
      if (!request.makesCall || hasCalled) {
        complete(true);
        return;
      }
      hasCalled = true;
      double timeoutMillis =
          Math.min(ShortageKind.CALL.timeoutMillis, plan.deadlineMillis() - time.exactMillis());
      call = model.call(localEdge, timeoutMillis, this::callEnded);
    }

    private void callEnded(ShortageEdge.Result result) {
      // The response may come before the call is assigned.
      time.schedule(0, () -> continueAfterCall(result));
    }

    private void continueAfterCall(ShortageEdge.Result result) {
      call = null;
      if (isEnded) {
        return;
      }
      if (result.outcome() == ShortageEdge.Outcome.SERVED) {
        remainingMillis = request.workMillis / 2;
        scheduleEnd();
      } else {
        complete(false);
      }
    }

    private void complete(boolean isSuccess) {
      long micros = sinceSentMicros();
      model
          .tally()
          .slotUsed(request.kind, isSuccess ? useOfSuccess() : "failed", micros / MICROS_PER_MILLI);
      speed.updateStatement(
          time.millis(),
          new BackendStatement(admission.running(), 0, SLOTS, BackendStatement.USUAL_PERCENT));
      failures.recordResult(
          time.millis(), isSuccess ? AttemptResult.SERVED : AttemptResult.SERVER_ERROR);
      routeTimes.add(
          time.millis(), plan.route(), speed.recordResponse(time.millis(), plan.route(), micros));
      leave();
      respond(new Verdict.Completed(), isSuccess, 0);
    }

    private String useOfSuccess() {
      long targetMillis = plan.arrivedMillis() + plan.hop().targetInMillis();
      return time.millis() <= targetMillis ? "in time" : "late";
    }

    /** Ends the attempt because its sender has left; the backend drops the work. */
    void cancel() {
      if (isEnded) {
        return;
      }
      if (isStarted()) {
        boolean isTimeout = time.millis() >= plan.deadlineMillis();
        failures.recordResult(
            time.millis(), isTimeout ? AttemptResult.TIMED_OUT : AttemptResult.NO_EVIDENCE);
        model
            .tally()
            .slotUsed(
                request.kind,
                isTimeout ? "timeout" : "abandoned",
                sinceSentMicros() / MICROS_PER_MILLI);
      }
      leave();
    }

    private void leave() {
      isEnded = true;
      version++;
      byId.remove(id);
      if (call != null) {
        call.cancel();
        call = null;
      }
      long micros = isStarted() ? sinceSentMicros() : 0;
      List<Decision> decisions = new ArrayList<>(admission.release(time.millis(), id, micros));
      admission.cancel(time.millis(), id);
      apply(decisions);
    }

    private void respond(Verdict verdict, boolean isSuccess, long retryAfterMillis) {
      BackendLoad load = load();
      BackendLoad withRoute =
          plan == null ? load : load.withRoute(routeTimes.average(plan.route()));
      boolean isNested = plan != null && nestedRoutes.isNested(plan.route());
      time.schedule(
          edge.latencyTo(ShortageGate.this),
          () ->
              edge.onResponse(
                  request, this, verdict, isSuccess, retryAfterMillis, withRoute, isNested));
    }
  }

  private final ShortageModel model;
  private final VirtualTime time;
  private final double usualRate;
  private final Map<Long, Attempt> byId = new LinkedHashMap<>();
  private AdmissionController admission;
  private BackendSpeed speed = new BackendSpeed();
  private final RouteAverages routeTimes = new RouteAverages(MIN_TIME_SAMPLES);
  private final NestedRouteDetector nestedRoutes = new NestedRouteDetector();
  private FailureRate failures = new FailureRate();
  private BackendEntry entry;
  private ShortageEdge localEdge;
  private double slowFactor = 1;
  private boolean isLost;
  private boolean isCold;
  private double slowdownByAge = 1;
  private double retriedWorkShare;
  private long lastId;

  ShortageGate(ShortageModel model, String id, String service, String zone, double usualRate) {
    this.model = model;
    this.time = model.time();
    this.usualRate = usualRate;
    this.entry =
        new BackendEntry(
            id,
            service,
            new PeerAddress("10.0.0.1", 1),
            zone,
            SLOTS,
            BackendEntry.State.READY,
            0,
            1);
    this.admission =
        AdmissionControllers.createInDueOrder(
            AdmissionLimits.settings(SLOTS, MIN_RETRY_AFTER_MILLIS));
  }

  void setLocalEdge(ShortageEdge edge) {
    localEdge = edge;
  }

  Attempt createAttempt(ShortageEdge edge, ShortageEdge.Request request) {
    return new Attempt(edge, request);
  }

  BackendEntry entry() {
    return entry;
  }

  String zone() {
    return entry.zone();
  }

  double retriedWorkShare() {
    return retriedWorkShare;
  }

  double usualRate() {
    return usualRate;
  }

  private double rate() {
    return usualRate / slowFactor / (isCold ? COLD_FACTOR : 1);
  }

  /** Makes all work here, begun or not, slower by a factor. */
  void setSlowFactor(double factor) {
    changeRate(() -> slowFactor = factor);
  }

  private void changeRate(Runnable change) {
    List<Attempt> working = byId.values().stream().filter(Attempt::isWorking).toList();
    working.forEach(Attempt::advance);
    change.run();
    working.forEach(Attempt::scheduleEnd);
  }

  /** Ends the backend; what runs there is lost. */
  void lose() {
    isLost = true;
    List<Attempt> running = byId.values().stream().filter(Attempt::isStarted).toList();
    for (Attempt attempt : running) {
      failures.recordResult(time.millis(), AttemptResult.LOST);
      attempt.leave();
      attempt.respond(LOST, false, 0);
    }
  }

  /** Starts the backend anew; it is slow for a time. */
  void restart() {
    isLost = false;
    isCold = true;
    entry =
        new BackendEntry(
            entry.id(),
            entry.service(),
            entry.address(),
            entry.zone(),
            SLOTS,
            BackendEntry.State.READY,
            WARMUP_MILLIS,
            entry.startTimeMillis() + 1);
    speed = new BackendSpeed();
    failures = new FailureRate();
    routeTimes.clear();
    time.schedule(WARMUP_MILLIS, () -> changeRate(() -> isCold = false));
  }

  private AdmissionRequests.WorkTime workTime(String route) {
    double slowdown = speed.slowdown(time.millis(), slowdownByAge);
    return new AdmissionRequests.WorkTime(
        Math.round(slowdown * routeTimes.average(route)),
        Math.round(slowdown * routeTimes.upperEstimate(route)));
  }

  void tick() {
    apply(admission.tick(time.millis()));
  }

  /** Estimates the slowdown from what runs. */
  void observe() {
    routeTimes.expire(time.millis());
    List<SlowdownDetector.Running> running = new ArrayList<>();
    int retries = 0;
    for (Attempt attempt : byId.values()) {
      if (attempt.isStarted()) {
        running.add(
            new SlowdownDetector.Running(
                attempt.sinceSentMicros(), routeTimes.average(attempt.plan.route())));
        retries += attempt.plan.hop().isRetry() ? 1 : 0;
      }
    }
    slowdownByAge = SlowdownDetector.slowdownFactor(running);
    retriedWorkShare = running.isEmpty() ? 0 : retries / (double) running.size();
  }

  BackendLoad load() {
    int slownessPercent =
        (int) Math.round(speed.slowdown(time.millis(), slowdownByAge) * BackendLoad.USUAL_PERCENT);
    return new BackendLoad(
            admission.running(),
            admission.queued(),
            SLOTS,
            admission.meanServiceMicros(),
            slownessPercent,
            0,
            entry.startTimeMillis())
        .withFailures(failures.percent(time.millis()));
  }

  /** Running and queued requests and the estimated slowdown, for a table. */
  String describe() {
    return "%s %d+%d x%.1f"
        .formatted(
            entry.id(),
            admission.running(),
            admission.queued(),
            speed.slowdown(time.millis(), slowdownByAge));
  }

  private void apply(List<Decision> decisions) {
    for (Decision decision : decisions) {
      Attempt attempt = byId.get(decision.id());
      if (attempt == null) {
        continue;
      }
      if (decision instanceof Decision.Admitted) {
        attempt.start();
      } else if (decision instanceof Decision.Refused refused) {
        byId.remove(decision.id());
        attempt.isEnded = true;
        model.tally().gateRefused(attempt.request.kind);
        attempt.respond(new Verdict.NotRun(refused.reason()), false, refused.retryAfterMillis());
      }
    }
  }
}
