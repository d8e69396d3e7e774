package io.umberpath.model;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Configuration of a proxy: an agreed state and a platform document, composed and checked as a
 * whole. A request keeps the snapshot it started with.
 *
 * @param version version of the agreed state
 * @param revision revision of the platform document
 * @param routes all routes, longest path prefix first
 * @param pools pools by name with their backends
 * @param secrets secrets by name
 */
public record ProxySnapshot(
    Version version,
    long revision,
    List<Route> routes,
    Map<String, PoolView> pools,
    Map<String, Secret> secrets) {
  /** The empty configuration: every request is refused as not run. */
  public static final ProxySnapshot EMPTY =
      new ProxySnapshot(Version.NONE, 0, List.of(), Map.of(), Map.of());

  /**
   * A pool and its backends in this snapshot.
   *
   * @param pool the operator's pool
   * @param backends the platform's backends of its service
   */
  public record PoolView(Pool pool, List<BackendView> backends) {}

  /**
   * A backend in this snapshot.
   *
   * @param address addresses of the backend and its node
   * @param drained whether an operator drains it
   */
  public record BackendView(PlatformDocument.BackendAddress address, boolean drained) {}

  /**
   * Composes a state and a document.
   *
   * @return the snapshot, or every unresolved reference: pools without a platform service, routes
   *     without pool or secret
   */
  public static Either<List<Violation>, ProxySnapshot> compose(
      FleetState state, PlatformDocument document) {
    List<Violation> violations = new ArrayList<>(ReferenceCheck.violations(state));
    List<Route> routes = new ArrayList<>();
    Map<String, PoolView> pools = new HashMap<>();
    Map<String, Secret> secrets = new HashMap<>();
    for (Resource resource : state.resources().values()) {
      if (resource instanceof Route route) {
        routes.add(route);
      } else if (resource instanceof Pool pool) {
        composePool(pool, state, document, violations)
            .ifPresent(poolView -> pools.put(pool.name(), poolView));
      } else if (resource instanceof Secret secret) {
        secrets.put(secret.name(), secret);
      }
    }
    if (!violations.isEmpty()) {
      return Either.left(violations);
    }
    routes.sort(
        Comparator.comparingInt((Route route) -> route.pathPrefix().length())
            .reversed()
            .thenComparing(Route::name));
    return Either.right(
        new ProxySnapshot(
            state.version(),
            document.revision(),
            List.copyOf(routes),
            Map.copyOf(pools),
            Map.copyOf(secrets)));
  }

  private static Optional<PoolView> composePool(
      Pool pool, FleetState state, PlatformDocument document, List<Violation> violations) {
    List<PlatformDocument.BackendAddress> addresses = document.services().get(pool.service());
    if (addresses == null) {
      String field = "pools[" + pool.name() + "].service";
      violations.add(
          new Violation(field, pool.service(), "not in platform document " + document.revision()));
      return Optional.empty();
    }
    List<BackendView> backends = new ArrayList<>();
    for (PlatformDocument.BackendAddress address : addresses) {
      backends.add(new BackendView(address, state.drained().contains(address.id())));
    }
    return Optional.of(new PoolView(pool, List.copyOf(backends)));
  }
}
