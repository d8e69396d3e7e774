package io.umberpath.model;

import java.util.ArrayList;
import java.util.List;

/** Checks that every route of an agreed state refers to an existing pool and secret. */
public final class ReferenceCheck {
  private ReferenceCheck() {}

  /** Returns all unresolved references; empty if the state is consistent. */
  public static List<Violation> violations(FleetState state) {
    List<Violation> violations = new ArrayList<>();
    for (Resource resource : state.resources().values()) {
      if (resource instanceof Route route) {
        checkRoute(state, route, violations);
      }
    }
    return violations;
  }

  private static void checkRoute(FleetState state, Route route, List<Violation> violations) {
    String path = "routes[" + route.name() + "]";
    if (!state.resources().containsKey(new ResourceKey(ResourceKind.POOL, route.pool()))) {
      violations.add(new Violation(path + ".pool", route.pool(), "no pool of this name"));
    }
    route
        .secret()
        .filter(name -> !state.resources().containsKey(new ResourceKey(ResourceKind.SECRET, name)))
        .ifPresent(
            name ->
                violations.add(new Violation(path + ".secret", name, "no secret of this name")));
  }
}
