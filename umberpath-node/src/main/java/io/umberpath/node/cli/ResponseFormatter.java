package io.umberpath.node.cli;

import io.umberpath.api.v1.Backend;
import io.umberpath.api.v1.ChangeExplanation;
import io.umberpath.api.v1.ErrorDetail;
import io.umberpath.api.v1.ExplainResponse;
import io.umberpath.api.v1.FleetStatusResponse;
import io.umberpath.api.v1.NodeStatus;
import io.umberpath.api.v1.Resource;
import io.umberpath.api.v1.Route;
import io.umberpath.api.v1.RouteExplanation;
import io.umberpath.api.v1.Violation;
import io.umberpath.control.store.StorePosition;
import java.util.Locale;

/** Formats responses as human-readable text. */
final class ResponseFormatter {
  private ResponseFormatter() {}

  static String resource(Resource resource) {
    String tier = resource.getTier().name().replace("TIER_", "").toLowerCase(Locale.ROOT);
    String head = String.format("%-24s %-9s ", resource.getName(), tier);
    return switch (resource.getSpecCase()) {
      case ROUTE -> "route  " + head + route(resource.getRoute());
      case POOL ->
          "pool   "
              + head
              + String.format(
                  "service %s, %d slots and %d connections a back end",
                  resource.getPool().getService(),
                  resource.getPool().getSlotsPerBackend(),
                  resource.getPool().getConnectionsPerBackend());
      case SECRET -> "secret " + head + "(value is never shown)";
      case SPEC_NOT_SET -> head;
    };
  }

  private static String route(Route route) {
    return String.format(
        "%s%s -> pool %s, %d ms, repeatable %s%s",
        route.getHost(),
        route.getPathPrefix(),
        route.getPool(),
        route.getTimeoutMillis(),
        route.getRepeatableMethodsList(),
        route.hasSecret() ? ", secret " + route.getSecret() : "");
  }

  static String status(FleetStatusResponse status) {
    StringBuilder text = new StringBuilder();
    text.append("committed          ").append(Names.version(status.getCommitted()));
    text.append("\nplatform revision  ").append(revision(status.getPlatformRevision()));
    text.append("\nleader             ");
    text.append(status.getLeader().isEmpty() ? "none known" : status.getLeader());
    text.append("\nanswered by        ").append(status.getAnsweredBy());
    text.append(" (").append(status.getRole().toLowerCase(Locale.ROOT)).append(')');
    text.append("\nin force           ");
    if (status.getFleetViewAvailable()) {
      text.append(status.getCurrentNodes()).append(" of ").append(status.getMembers());
      text.append(" members");
    } else {
      text.append("not known, no leader answered; ").append(status.getMembers());
      text.append(" members");
    }
    for (Violation violation : status.getCompositionViolationsList()) {
      text.append("\nnot composed       ").append(violation(violation));
    }
    if (status.getNodesCount() > 0) {
      text.append(
          String.format(
              "%n%n%-22s %-16s %-12s %-12s %-9s %5s",
              "node", "zone", "held", "active", "platform", "lag"));
    }
    status.getNodesList().forEach(node -> text.append('\n').append(node(node)));
    return text.toString();
  }

  private static String node(NodeStatus node) {
    return String.format(
        "%-22s %-16s %-12s %-12s %-9d %5d%s",
        node.getAddress(),
        node.getZone(),
        Names.version(node.getHeld()),
        Names.version(node.getActive()),
        node.getPlatformRevision(),
        node.getLag(),
        node.getReachable() ? "" : "  not heard of");
  }

  static String explanation(ExplainResponse response) {
    return response.hasRoute() ? route(response.getRoute()) : change(response.getChange());
  }

  /**
   * Formats a platform revision, prefixed with its era if the store was restored from an older
   * copy.
   */
  private static String revision(long packed) {
    return StorePosition.describePacked(packed);
  }

  private static String route(RouteExplanation explanation) {
    StringBuilder text = new StringBuilder(explanation.getReason());
    text.append("\nin force: version ").append(Names.version(explanation.getVersion()));
    text.append(", platform revision ").append(revision(explanation.getPlatformRevision()));
    if (explanation.getMatched()) {
      text.append('\n').append(resource(explanation.getRoute()));
      text.append('\n').append(resource(explanation.getPool()));
      explanation.getBackendsList().forEach(backend -> text.append('\n').append(backend(backend)));
    }
    return text.toString();
  }

  private static String backend(Backend backend) {
    String phase = backend.getPhase().isEmpty() ? "not heard of" : backend.getPhase();
    return String.format(
        "  %-20s %-22s %-12s %s, load %d %%%s",
        backend.getId(),
        backend.getAddress(),
        backend.getZone(),
        phase.toLowerCase(Locale.ROOT),
        backend.getLoadPercent(),
        backend.getDrained() ? ", drained by an operator" : "");
  }

  private static String change(ChangeExplanation change) {
    if (change.hasAccepted()) {
      return "accepted in version " + Names.version(change.getAccepted());
    }
    ErrorDetail refused = change.getRefused();
    StringBuilder text = new StringBuilder("refused: ").append(refused.getMessage());
    refused
        .getViolationsList()
        .forEach(violation -> text.append("\n  ").append(violation(violation)));
    return text.toString();
  }

  /** Formats a violation as one line with field, value and message. */
  static String violation(Violation violation) {
    return violation.getField() + " = '" + violation.getValue() + "': " + violation.getMessage();
  }
}
