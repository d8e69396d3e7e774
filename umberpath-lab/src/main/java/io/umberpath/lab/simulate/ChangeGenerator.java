package io.umberpath.lab.simulate;

import io.umberpath.model.ChangeSet;
import io.umberpath.model.Pool;
import io.umberpath.model.Resource;
import io.umberpath.model.ResourceKey;
import io.umberpath.model.ResourceKind;
import io.umberpath.model.Route;
import io.umberpath.model.Secret;
import io.umberpath.model.Tier;
import io.umberpath.model.Version;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Makes operators' changes. Each value carries a serial number, so that no two changes write equal
 * values and the checker can tell whose value it sees.
 */
final class ChangeGenerator {
  private static final int ROUTES_PER_SERVICE = 2;
  private static final long TIMEOUT_MILLIS = 2_000;
  private static final int SLOTS = 6;
  private static final int MOST_CONNECTIONS = 100_000;
  private static final int SECRET_BYTES = 32;

  private final SplittableRandom random;
  private final List<String> services;
  private long serial;

  ChangeGenerator(SplittableRandom random, List<String> services) {
    this.random = random;
    this.services = services;
  }

  /** The change that creates everything of one service. */
  ChangeSet initial(int service) {
    serial++;
    return change(
        service,
        Optional.empty(),
        List.of(pool(service), secret(service), route(service, 0), route(service, 1)),
        List.of());
  }

  /** A random change of one service, which mostly is valid. */
  ChangeSet random(Optional<Version> expected) {
    serial++;
    int service = random.nextInt(services.size());
    int number = random.nextInt(ROUTES_PER_SERVICE);
    int dice = random.nextInt(100);
    if (dice < 55) {
      return change(service, expected, List.of(route(service, number)), List.of());
    } else if (dice < 75) {
      return change(service, expected, List.of(secret(service)), List.of());
    } else if (dice < 85) {
      return change(service, expected, List.of(pool(service), route(service, number)), List.of());
    } else if (dice < 92) {
      return change(service, expected, List.of(), List.of(routeKey(service, number)));
    } else if (dice < 96) {
      return dangling(service, expected);
    }
    return drain(service, expected);
  }

  /** A change of one fixed resource, for races. */
  ChangeSet contended(int service, Optional<Version> expected) {
    serial++;
    return change(service, expected, List.of(route(service, 0)), List.of());
  }

  /** Another content under the request id of a change. */
  ChangeSet reusing(ChangeSet original) {
    serial++;
    int service = random.nextInt(services.size());
    ChangeSet other = change(service, Optional.empty(), List.of(route(service, 0)), List.of());
    return new ChangeSet(
        original.requestId(),
        original.tenant(),
        original.tier(),
        Optional.empty(),
        other.upserts().stream().map(resource -> ownedBy(resource, original.tenant())).toList(),
        List.of(),
        List.of());
  }

  private static Resource ownedBy(Resource resource, String tenant) {
    Route route = (Route) resource;
    return new Route(
        route.name(),
        tenant,
        route.tier(),
        route.host(),
        route.pathPrefix(),
        route.pool(),
        route.secret(),
        route.repeatableMethods(),
        route.timeoutMillis());
  }

  private ChangeSet dangling(int service, Optional<Version> expected) {
    Route route = route(service, 0);
    Route broken =
        new Route(
            route.name(),
            route.tenant(),
            route.tier(),
            route.host(),
            route.pathPrefix(),
            "no-such-pool",
            route.secret(),
            route.repeatableMethods(),
            route.timeoutMillis());
    return change(service, expected, List.of(broken), List.of());
  }

  private ChangeSet drain(int service, Optional<Version> expected) {
    String backend = VirtualPlatform.backendId(service, 0);
    boolean draining = random.nextBoolean();
    return new ChangeSet(
        requestId(),
        tenant(service),
        tier(service),
        expected,
        List.of(),
        List.of(),
        List.of(new ChangeSet.DrainChange(backend, draining)));
  }

  private ChangeSet change(
      int service, Optional<Version> expected, List<Resource> upserts, List<ResourceKey> deletes) {
    return new ChangeSet(
        requestId(), tenant(service), tier(service), expected, upserts, deletes, List.of());
  }

  private String requestId() {
    return "request-" + serial;
  }

  private static String tenant(int service) {
    return "tenant-" + service % 10;
  }

  private static Tier tier(int service) {
    return Tier.values()[service % Tier.values().length];
  }

  private Pool pool(int service) {
    int connections = 1 + (int) (serial % MOST_CONNECTIONS);
    return new Pool(
        "pool-" + service,
        tenant(service),
        tier(service),
        services.get(service),
        SLOTS,
        connections);
  }

  private Secret secret(int service) {
    String value = String.format("%0" + SECRET_BYTES + "d", serial);
    return new Secret(
        "secret-" + service,
        tenant(service),
        tier(service),
        value.getBytes(StandardCharsets.US_ASCII));
  }

  private static ResourceKey routeKey(int service, int number) {
    return new ResourceKey(ResourceKind.ROUTE, "route-" + service + "-" + number);
  }

  private Route route(int service, int number) {
    return new Route(
        routeKey(service, number).name(),
        tenant(service),
        tier(service),
        services.get(service) + ".mesh",
        "/v" + number + "/" + serial,
        "pool-" + service,
        Optional.of("secret-" + service),
        Set.of("GET", "HEAD"),
        TIMEOUT_MILLIS);
  }

  int serviceCount() {
    return services.size();
  }
}
