package io.umberpath.node.operator;

import io.grpc.Context;
import io.grpc.stub.ServerCallStreamObserver;
import io.umberpath.api.v1.FleetStatusResponse;
import io.umberpath.api.v1.NodeStatus;
import io.umberpath.api.v1.WaitRequest;
import io.umberpath.api.v1.WaitResponse;
import io.umberpath.api.v1.WatchStatusRequest;
import io.umberpath.control.ControlStatus;
import io.umberpath.model.Version;
import io.umberpath.node.control.ControlService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Handles fleet-wide calls: wait, status and the status stream. Thread-safe; never blocks. */
final class FleetHandler {
  private static final Duration MAX_WAIT = Duration.ofMinutes(10);
  private static final long INITIAL_POLL_MILLIS = 20;
  private static final long MAX_POLL_MILLIS = 250;
  private static final long DEFAULT_WATCH_MILLIS = 1_000;
  private static final long MIN_WATCH_MILLIS = 100;
  private static final long MAX_WATCH_MILLIS = 60_000;

  private final ControlService control;
  private final SharedFleetView fleetView;
  private final ScheduledExecutorService scheduler;

  FleetHandler(ControlService control, ScheduledExecutorService scheduler) {
    this.control = control;
    this.fleetView = new SharedFleetView(control);
    this.scheduler = scheduler;
  }

  /**
   * Completes when the version or a newer one is active on every member, or with a deadline error
   * that gives the number of lagging members; a call without a deadline waits for {@link
   * #MAX_WAIT}.
   */
  CompletableFuture<Either<OperatorError, WaitResponse>> waitFor(WaitRequest request) {
    Version version = ResourceCodec.version(request.getVersion());
    if (!request.hasVersion() || version.compareTo(Version.NONE) <= 0) {
      return CompletableFuture.completedFuture(
          Either.left(
              OperatorError.invalid("version", version.toString(), "must be an accepted version")));
    }
    Duration timeout = CallDeadline.remaining(MAX_WAIT, MAX_WAIT);
    PendingWait wait = new PendingWait(version, System.nanoTime() + timeout.toNanos());
    wait.poll(INITIAL_POLL_MILLIS);
    return wait.result;
  }

  /** A pending wait call; polls at increasing intervals. */
  private final class PendingWait {
    private final CompletableFuture<Either<OperatorError, WaitResponse>> result =
        new CompletableFuture<>();
    private final Context context = Context.current();
    private final Version version;
    private final long deadlineNanos;

    PendingWait(Version version, long deadlineNanos) {
      this.version = version;
      this.deadlineNanos = deadlineNanos;
    }

    void poll(long pauseMillis) {
      fleetView.get().thenAccept(nodes -> check(nodes, pauseMillis));
    }

    private void check(List<ControlStatus.NodeView> nodes, long pauseMillis) {
      long laggingMembers = nodes.stream().filter(node -> version.isAfter(node.active())).count();
      if (!nodes.isEmpty() && laggingMembers == 0) {
        result.complete(Either.right(waitResponse(nodes)));
        return;
      }
      long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
      if (remainingMillis <= 0 || context.isCancelled()) {
        result.complete(Either.left(timeoutError(nodes, laggingMembers)));
        return;
      }
      long nextPauseMillis = Math.min(2 * pauseMillis, MAX_POLL_MILLIS);
      long pause = Math.min(pauseMillis, remainingMillis);
      scheduler.schedule(() -> poll(nextPauseMillis), pause, TimeUnit.MILLISECONDS);
    }

    private OperatorError timeoutError(List<ControlStatus.NodeView> nodes, long laggingMembers) {
      return OperatorError.deadlineExceeded(
          nodes.isEmpty()
              ? "no leader answered; whether " + version + " is in force is not known"
              : version
                  + " is not yet in force in "
                  + laggingMembers
                  + " of "
                  + nodes.size()
                  + " members");
    }
  }

  private static WaitResponse waitResponse(List<ControlStatus.NodeView> nodes) {
    Version oldest =
        nodes.stream()
            .map(ControlStatus.NodeView::active)
            .min(Comparator.naturalOrder())
            .orElse(Version.NONE);
    return WaitResponse.newBuilder()
        .setVersion(ResourceCodec.version(oldest))
        .setNodes(nodes.size())
        .build();
  }

  /** Returns the fleet status; only fleet administrators get the list of nodes. */
  CompletableFuture<Either<OperatorError, FleetStatusResponse>> status(Principal principal) {
    return fleetView.get().thenApply(nodes -> Either.right(report(principal, nodes)));
  }

  private FleetStatusResponse report(Principal principal, List<ControlStatus.NodeView> nodes) {
    ControlStatus status = control.status();
    Version committed = status.committed().version();
    FleetStatusResponse.Builder report =
        FleetStatusResponse.newBuilder()
            .setCommitted(ResourceCodec.version(committed))
            .setPlatformRevision(status.document().revision())
            .setLeader(status.leader().map(leader -> leader.address().toString()).orElse(""))
            .setAnsweredBy(status.self().address().toString())
            .setRole(status.role().name())
            .setMembers(status.committed().roster().size())
            .setFleetViewAvailable(!nodes.isEmpty())
            .setCurrentNodes(
                (int) nodes.stream().filter(node -> !committed.isAfter(node.active())).count());
    if (principal.fleetAdmin()) {
      nodes.forEach(node -> report.addNodes(nodeStatus(node, committed)));
    }
    CompositionViolations.visibleTo(principal, status)
        .forEach(cause -> report.addCompositionViolations(ResourceCodec.violation(cause)));
    return report.build();
  }

  private static NodeStatus nodeStatus(ControlStatus.NodeView node, Version committed) {
    long lag = Math.max(0, committed.sequence() - node.active().sequence());
    return NodeStatus.newBuilder()
        .setAddress(node.member().address().toString())
        .setZone(node.member().zone())
        .setRegion(node.member().region())
        .setReachable(node.reachable())
        .setHeld(ResourceCodec.version(node.held()))
        .setActive(ResourceCodec.version(node.active()))
        .setPlatformRevision(node.revision())
        .setLag(lag)
        .build();
  }

  /** Streams status reports until the client cancels; reports to a slow client are skipped. */
  void watch(
      Principal principal,
      WatchStatusRequest request,
      ServerCallStreamObserver<FleetStatusResponse> observer) {
    long interval =
        request.getIntervalMillis() == 0 ? DEFAULT_WATCH_MILLIS : request.getIntervalMillis();
    if (interval < MIN_WATCH_MILLIS || interval > MAX_WATCH_MILLIS) {
      String range = "must be " + MIN_WATCH_MILLIS + " to " + MAX_WATCH_MILLIS;
      observer.onError(
          OperatorError.invalid("interval_millis", Long.toString(interval), range).toException());
      return;
    }
    // With a cancel handler, sending a report to a cancelled call does not throw.
    observer.setOnCancelHandler(() -> {});
    new Watch(() -> status(principal), interval, observer).next();
  }

  /** A watch call. Reports are sent sequentially, so its fields need no lock. */
  private final class Watch {
    private final Supplier<CompletableFuture<Either<OperatorError, FleetStatusResponse>>> status;
    private final long intervalMillis;
    private final ServerCallStreamObserver<FleetStatusResponse> observer;
    private volatile FleetStatusResponse sent = null;

    Watch(
        Supplier<CompletableFuture<Either<OperatorError, FleetStatusResponse>>> status,
        long intervalMillis,
        ServerCallStreamObserver<FleetStatusResponse> observer) {
      this.status = status;
      this.intervalMillis = intervalMillis;
      this.observer = observer;
    }

    void next() {
      if (observer.isCancelled()) {
        return;
      }
      status
          .get()
          .thenAccept(
              report -> {
                report.peek(this::send);
                scheduler.schedule(this::next, intervalMillis, TimeUnit.MILLISECONDS);
              });
    }

    private void send(FleetStatusResponse report) {
      if (!report.equals(sent) && observer.isReady() && !observer.isCancelled()) {
        sent = report;
        observer.onNext(report);
      }
    }
  }
}
