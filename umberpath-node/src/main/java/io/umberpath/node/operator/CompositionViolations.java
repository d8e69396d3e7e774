package io.umberpath.node.operator;

import io.umberpath.control.ControlStatus;
import io.umberpath.model.FleetState;
import io.umberpath.model.Resource;
import io.umberpath.model.ResourceKey;
import io.umberpath.model.ResourceKind;
import io.umberpath.model.Violation;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Filters the reasons why the newest version is not active by what a principal may see. */
final class CompositionViolations {
  private static final Pattern FIELD = Pattern.compile("(pools|routes)\\[([^]]*)].*");

  private CompositionViolations() {}

  /** Returns all violations to fleet administrators, and those of own resources to others. */
  static List<Violation> visibleTo(Principal principal, ControlStatus status) {
    return status.compositionViolations().stream()
        .filter(
            violation ->
                principal.fleetAdmin()
                    || owner(violation, status.committed()).equals(principal.tenant()))
        .toList();
  }

  private static String owner(Violation violation, FleetState state) {
    Matcher matcher = FIELD.matcher(violation.field());
    if (!matcher.matches()) {
      return "";
    }
    ResourceKind kind = matcher.group(1).equals("pools") ? ResourceKind.POOL : ResourceKind.ROUTE;
    return state
        .resources()
        .get(new ResourceKey(kind, matcher.group(2)))
        .map(Resource::tenant)
        .getOrElse("");
  }
}
