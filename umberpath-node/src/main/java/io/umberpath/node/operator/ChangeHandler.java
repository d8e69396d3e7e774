package io.umberpath.node.operator;

import com.google.common.flogger.FluentLogger;
import io.umberpath.api.v1.ApplyRequest;
import io.umberpath.api.v1.ApplyResponse;
import io.umberpath.api.v1.DrainRequest;
import io.umberpath.api.v1.DrainResponse;
import io.umberpath.api.v1.Outcome;
import io.umberpath.api.v1.ReformRequest;
import io.umberpath.api.v1.ReformResponse;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.ResourceValidator;
import io.umberpath.model.Version;
import io.umberpath.model.Violation;
import io.umberpath.node.control.ControlService;
import io.umberpath.node.logs.LogFields;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

/** Handles mutating calls: apply, drain, re-form. Thread-safe. */
final class ChangeHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration MAX_TIMEOUT = Duration.ofSeconds(60);
  private static final int MAX_REQUEST_ID_LENGTH = 64;

  /** Extra time that the control plane gets to respond after the timeout passed to it. */
  private static final Duration TIMEOUT_GRACE = Duration.ofSeconds(1);

  private final ControlService control;
  private final RecentRefusals refusals;

  ChangeHandler(ControlService control, RecentRefusals refusals) {
    this.control = control;
    this.refusals = refusals;
  }

  /**
   * Submits a change after checking that it is well formed, permitted and refers only to services
   * of the platform. An error tells whether the change may have run; refusals are kept for explain.
   */
  CompletableFuture<Either<OperatorError, ApplyResponse>> apply(
      Principal principal, ApplyRequest request) {
    Either<OperatorError, ChangeSet> change = ChangeSetReader.read(principal, request);
    if (change.isLeft()) {
      return refuse(principal, request.getRequestId(), change.getLeft());
    }
    List<Violation> missing = PlatformCheck.violations(change.get(), control.status().document());
    if (!missing.isEmpty()) {
      return refuse(principal, request.getRequestId(), OperatorError.invalid(missing));
    }
    return submit(
        change.get(),
        version -> ApplyResponse.newBuilder().setVersion(ResourceCodec.version(version)).build());
  }

  /** Starts or ends draining a backend or all local backends of a node; administrators only. */
  CompletableFuture<Either<OperatorError, DrainResponse>> drain(
      Principal principal, DrainRequest request) {
    if (!principal.fleetAdmin()) {
      return refuse(principal, request.getRequestId(), administratorRequired("drain"));
    }
    Either<OperatorError, List<String>> targets = drainTargets(request);
    if (targets.isLeft()) {
      return refuse(principal, request.getRequestId(), targets.getLeft());
    }
    List<ChangeSet.DrainChange> drains =
        targets.get().stream()
            .map(id -> new ChangeSet.DrainChange(id, request.getDraining()))
            .toList();
    ChangeSet change =
        new ChangeSet(
            request.getRequestId(),
            principal.tenant(),
            principal.highestTier(),
            Optional.empty(),
            List.of(),
            List.of(),
            drains);
    List<Violation> violations = ResourceValidator.violations(change);
    if (!violations.isEmpty()) {
      return refuse(principal, request.getRequestId(), OperatorError.invalid(violations));
    }
    return submit(
        change,
        version ->
            DrainResponse.newBuilder()
                .setVersion(ResourceCodec.version(version))
                .addAllBackendIds(targets.get())
                .build());
  }

  /** Re-forms the fleet without the members declared lost; administrators only. */
  CompletableFuture<Either<OperatorError, ReformResponse>> reform(
      Principal principal, ReformRequest request) {
    if (!principal.fleetAdmin()) {
      return CompletableFuture.completedFuture(Either.left(administratorRequired("re-form")));
    }
    Set<PeerAddress> loss = new HashSet<>();
    List<Violation> violations = new ArrayList<>();
    for (int index = 0; index < request.getAcceptedLossCount(); index++) {
      String text = request.getAcceptedLoss(index);
      try {
        loss.add(PeerAddress.parse(text));
      } catch (IllegalArgumentException malformed) {
        violations.add(new Violation("accepted_loss[" + index + "]", text, "must be HOST:PORT"));
      }
    }
    if (!violations.isEmpty()) {
      return CompletableFuture.completedFuture(Either.left(OperatorError.invalid(violations)));
    }
    logger
        .atWarning()
        .with(LogFields.EVENT, "operator-reform")
        .with(LogFields.TENANT, principal.tenant())
        .log("re-form requested, accepted loss %s", loss);
    return execute(timeout -> control.reform(loss, timeout))
        .thenApply(
            result ->
                result.map(
                    version ->
                        ReformResponse.newBuilder()
                            .setVersion(ResourceCodec.version(version))
                            .build()));
  }

  private Either<OperatorError, List<String>> drainTargets(DrainRequest request) {
    PlatformDocument document = control.status().document();
    List<PlatformDocument.BackendAddress> listed =
        document.services().values().stream().flatMap(List::stream).toList();
    return switch (request.getTargetCase()) {
      case BACKEND_ID -> {
        String id = request.getBackendId();
        boolean exists = listed.stream().anyMatch(backend -> backend.id().equals(id));
        yield exists || !request.getDraining()
            ? Either.right(List.of(id))
            : Either.left(unknownTarget("backend_id", id, document));
      }
      case NODE -> {
        String node = request.getNode();
        List<String> local =
            listed.stream()
                .filter(backend -> isLocalTo(backend, node))
                .map(PlatformDocument.BackendAddress::id)
                .distinct()
                .toList();
        yield local.isEmpty()
            ? Either.left(unknownTarget("node", node, document))
            : Either.right(local);
      }
      case TARGET_NOT_SET ->
          Either.left(OperatorError.invalid("target", "", "must name a back end or a node"));
    };
  }

  private static boolean isLocalTo(PlatformDocument.BackendAddress backend, String node) {
    return node.equals(backend.nodeHost())
        || node.equals(backend.nodeHost() + ":" + backend.nodeHopPort());
  }

  private static OperatorError unknownTarget(
      String field, String value, PlatformDocument document) {
    return OperatorError.invalid(
        field, value, "has no back end in platform document " + document.revision());
  }

  private static OperatorError administratorRequired(String action) {
    return OperatorError.forbidden("only a fleet administrator's token may " + action, List.of());
  }

  private <T> CompletableFuture<Either<OperatorError, T>> submit(
      ChangeSet change, Function<Version, T> toResponse) {
    return execute(timeout -> control.submit(change, timeout))
        .thenApply(
            result -> {
              result.peek(version -> logAccepted(change, version));
              result.peekLeft(error -> recordRefusal(change.tenant(), change.requestId(), error));
              return result.map(toResponse);
            });
  }

  /** Executes a change and converts every outcome into a version or an error. */
  private static CompletableFuture<Either<OperatorError, Version>> execute(
      Function<Duration, CompletionStage<ChangeResult>> run) {
    Duration timeout = CallDeadline.remaining(DEFAULT_TIMEOUT, MAX_TIMEOUT);
    if (timeout.isNegative() || timeout.isZero()) {
      return CompletableFuture.completedFuture(
          Either.left(
              OperatorError.deadlineExceeded("no time left before the change was handed over")));
    }
    Supplier<CompletableFuture<ChangeResult>> guarded =
        () ->
            run.apply(timeout)
                .toCompletableFuture()
                .copy()
                .orTimeout(timeout.plus(TIMEOUT_GRACE).toMillis(), TimeUnit.MILLISECONDS);
    return invoke(guarded)
        .handle(
            (result, failure) ->
                failure == null
                    ? toEither(result)
                    : Either.left(OperatorError.unknown("no answer from the register")));
  }

  private static CompletableFuture<ChangeResult> invoke(
      Supplier<CompletableFuture<ChangeResult>> run) {
    try {
      return run.get();
    } catch (RuntimeException failure) {
      logger
          .atSevere()
          .withCause(failure)
          .with(LogFields.EVENT, "operator-call-failed")
          .log("submitting a change to the control plane failed");
      return CompletableFuture.failedFuture(failure);
    }
  }

  private static Either<OperatorError, Version> toEither(ChangeResult result) {
    if (result instanceof ChangeResult.Accepted accepted) {
      return Either.right(accepted.version());
    }
    if (result instanceof ChangeResult.Refused refused) {
      return Either.left(OperatorError.refused(refused));
    }
    return Either.left(OperatorError.unknown(((ChangeResult.Unknown) result).cause()));
  }

  private <T> CompletableFuture<Either<OperatorError, T>> refuse(
      Principal principal, String requestId, OperatorError error) {
    recordRefusal(principal.tenant(), requestId, error);
    return CompletableFuture.completedFuture(Either.left(error));
  }

  private void recordRefusal(String tenant, String requestId, OperatorError error) {
    String shortId = OperatorError.shorten(requestId, MAX_REQUEST_ID_LENGTH);
    refusals.remember(tenant, shortId, error.detail());
    boolean refused = error.detail().getOutcome() == Outcome.OUTCOME_NOT_RUN;
    logger
        .atInfo()
        .with(LogFields.EVENT, refused ? "operator-change-refused" : "operator-change-unknown")
        .with(LogFields.TENANT, tenant)
        .with(LogFields.REQUEST_ID, shortId)
        .with(LogFields.OUTCOME, error.detail().getOutcome().name())
        .log("%s", error.detail().getReason());
  }

  private static void logAccepted(ChangeSet change, Version version) {
    logger
        .atInfo()
        .with(LogFields.EVENT, "operator-change-accepted")
        .with(LogFields.TENANT, change.tenant())
        .with(LogFields.REQUEST_ID, change.requestId())
        .with(LogFields.VERSION, version.toString())
        .log("change accepted");
  }
}
