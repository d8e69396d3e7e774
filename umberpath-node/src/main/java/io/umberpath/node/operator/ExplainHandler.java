package io.umberpath.node.operator;

import io.umberpath.api.v1.Backend;
import io.umberpath.api.v1.ChangeExplanation;
import io.umberpath.api.v1.ErrorDetail;
import io.umberpath.api.v1.ExplainRequest;
import io.umberpath.api.v1.ExplainResponse;
import io.umberpath.api.v1.RequestSubject;
import io.umberpath.api.v1.RouteExplanation;
import io.umberpath.control.ControlStatus;
import io.umberpath.model.FleetState;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Route;
import io.umberpath.model.StateDeltas;
import io.umberpath.model.Violation;
import io.umberpath.node.control.ControlService;
import io.umberpath.traffic.RouteTable;
import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Explains how a request is routed and what the result of a change was. Thread-safe. */
final class ExplainHandler {
  private final ControlService control;
  private final RecentRefusals refusals;

  ExplainHandler(ControlService control, RecentRefusals refusals) {
    this.control = control;
    this.refusals = refusals;
  }

  /**
   * Explains a request from this node's active snapshot, or a change from this node's recent
   * results. Routes of other tenants are visible only to fleet administrators; changes of other
   * tenants are never visible.
   */
  Either<OperatorError, ExplainResponse> explain(Principal principal, ExplainRequest request) {
    return switch (request.getSubjectCase()) {
      case REQUEST -> explainRoute(principal, request.getRequest());
      case REQUEST_ID -> explainChange(principal, request.getRequestId());
      case SUBJECT_NOT_SET ->
          Either.left(
              OperatorError.invalid("subject", "", "must be a request or a change's request id"));
    };
  }

  private Either<OperatorError, ExplainResponse> explainChange(
      Principal principal, String requestId) {
    FleetState state = control.status().committed();
    Optional<FleetState.AnsweredChange> accepted =
        state.answered().get(StateDeltas.answerKey(principal.tenant(), requestId)).toJavaOptional();
    if (accepted.isPresent()) {
      return Either.right(
          response(
              ChangeExplanation.newBuilder()
                  .setAccepted(ResourceCodec.version(accepted.get().version()))));
    }
    Optional<ErrorDetail> refusal = refusals.find(principal.tenant(), requestId);
    if (refusal.isPresent()) {
      return Either.right(response(ChangeExplanation.newBuilder().setRefused(refusal.get())));
    }
    return Either.left(
        OperatorError.notFound("neither accepted of late nor refused by this node: " + requestId));
  }

  private static ExplainResponse response(ChangeExplanation.Builder explanation) {
    return ExplainResponse.newBuilder().setChange(explanation).build();
  }

  private Either<OperatorError, ExplainResponse> explainRoute(
      Principal principal, RequestSubject subject) {
    if (subject.getHost().isEmpty() || !subject.getPath().startsWith("/")) {
      return Either.left(
          OperatorError.invalid(
              "request",
              subject.getHost() + subject.getPath(),
              "must have a host, and a path beginning with /"));
    }
    ProxySnapshot snapshot = control.snapshot();
    Optional<Route> matched = RouteTable.of(snapshot).match(subject.getHost(), subject.getPath());
    Optional<Route> visible =
        matched.filter(
            route -> principal.fleetAdmin() || route.tenant().equals(principal.tenant()));
    RouteExplanation.Builder explanation =
        RouteExplanation.newBuilder()
            .setVersion(ResourceCodec.version(snapshot.version()))
            .setPlatformRevision(snapshot.revision())
            .setMatched(visible.isPresent());
    if (visible.isPresent()) {
      describe(explanation, visible.get(), snapshot);
    } else {
      explanation.setReason(noRouteReason(snapshot));
    }
    explanation.setReason(explanation.getReason() + heldBackNote(principal));
    return Either.right(ExplainResponse.newBuilder().setRoute(explanation).build());
  }

  /** Returns a note if a newer configuration is not active, or an empty string. */
  private String heldBackNote(Principal principal) {
    ControlStatus status = control.status();
    if (status.compositionViolations().isEmpty()) {
      return "";
    }
    List<Violation> violations = CompositionViolations.visibleTo(principal, status);
    String cause =
        violations.isEmpty() ? "resources of other tenants" : violations.get(0).toString();
    return "; a newer configuration is not in force, because of " + cause;
  }

  private static String noRouteReason(ProxySnapshot snapshot) {
    return snapshot == ProxySnapshot.EMPTY
        ? "this node has no configuration in force yet; it refuses every request as not run"
        : "no route of this tenant matches host and path";
  }

  private void describe(RouteExplanation.Builder explanation, Route route, ProxySnapshot snapshot) {
    ProxySnapshot.PoolView view = snapshot.pools().get(route.pool());
    explanation.setRoute(ResourceCodec.resource(route));
    explanation.setPool(ResourceCodec.resource(view.pool()));
    Map<String, ObservedBackend> observed = control.observedBackends();
    for (ProxySnapshot.BackendView backend : view.backends()) {
      explanation.addBackends(backend(backend, observed.get(backend.address().id())));
    }
    long usable = explanation.getBackendsList().stream().filter(ExplainHandler::isUsable).count();
    explanation.setReason(
        String.format(
            Locale.ROOT,
            "route '%s' has the longest matching prefix '%s' for host '%s'; pool '%s' of service"
                + " '%s' has %d back ends, %d of them may take work",
            route.name(),
            route.pathPrefix(),
            route.host(),
            route.pool(),
            view.pool().service(),
            view.backends().size(),
            usable));
  }

  private static boolean isUsable(Backend backend) {
    String phase = backend.getPhase();
    boolean unavailable =
        phase.equals(ObservedBackend.Phase.DOWN.name())
            || phase.equals(ObservedBackend.Phase.DRAINING.name());
    return !backend.getDrained() && !unavailable;
  }

  private static Backend backend(ProxySnapshot.BackendView view, ObservedBackend observed) {
    Backend.Builder backend =
        Backend.newBuilder()
            .setId(view.address().id())
            .setAddress(view.address().host() + ":" + view.address().port())
            .setZone(view.address().zone())
            .setDrained(view.drained());
    if (observed != null) {
      backend.setPhase(observed.phase().name()).setLoadPercent(observed.load());
    }
    return backend.build();
  }
}
