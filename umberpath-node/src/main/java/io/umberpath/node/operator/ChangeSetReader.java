package io.umberpath.node.operator;

import io.umberpath.api.v1.ApplyRequest;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.Pool;
import io.umberpath.model.Resource;
import io.umberpath.model.ResourceKey;
import io.umberpath.model.ResourceKind;
import io.umberpath.model.ResourceValidator;
import io.umberpath.model.Route;
import io.umberpath.model.Secret;
import io.umberpath.model.Tier;
import io.umberpath.model.Violation;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Converts an apply request into a validated and authorized change set. */
final class ChangeSetReader {
  /** Maximum number of items in a change. */
  static final int MAX_ITEMS = 10_000;

  private final Principal principal;
  private final ApplyRequest request;
  private final List<Violation> invalid = new ArrayList<>();
  private final List<Violation> forbidden = new ArrayList<>();
  private final Set<ResourceKey> seen = new HashSet<>();

  private ChangeSetReader(Principal principal, ApplyRequest request) {
    this.principal = principal;
    this.request = request;
  }

  /** Returns the change set, or the reason for its rejection. */
  static Either<OperatorError, ChangeSet> read(Principal principal, ApplyRequest request) {
    return new ChangeSetReader(principal, request).read();
  }

  private Either<OperatorError, ChangeSet> read() {
    int items = request.getUpsertsCount() + request.getDeletesCount();
    if (items > MAX_ITEMS) {
      return Either.left(
          OperatorError.invalid(
              "upserts", Integer.toString(items), "at most " + MAX_ITEMS + " items in a change"));
    }
    if (!request.getTenant().isEmpty() && !request.getTenant().equals(principal.tenant())) {
      forbidden.add(new Violation("tenant", request.getTenant(), "is not the token's tenant"));
    }
    Tier tier = tier("tier", request.getTier(), principal.highestTier());
    ChangeSet change =
        new ChangeSet(
            request.getRequestId(),
            principal.tenant(),
            tier,
            request.hasExpectedVersion()
                ? Optional.of(ResourceCodec.version(request.getExpectedVersion()))
                : Optional.empty(),
            upserts(tier),
            deletes(),
            List.of());
    if (invalid.isEmpty()) {
      invalid.addAll(ResourceValidator.violations(change));
    }
    if (!forbidden.isEmpty()) {
      return Either.left(
          OperatorError.forbidden("the token does not permit this change", forbidden));
    }
    return invalid.isEmpty() ? Either.right(change) : Either.left(OperatorError.invalid(invalid));
  }

  private List<Resource> upserts(Tier changeTier) {
    List<Resource> upserts = new ArrayList<>();
    for (int index = 0; index < request.getUpsertsCount(); index++) {
      String path = "upserts[" + index + "]";
      resource(path, request.getUpserts(index), changeTier)
          .ifPresent(
              resource -> {
                checkUnique(path, resource.key());
                upserts.add(resource);
              });
    }
    return upserts;
  }

  private List<ResourceKey> deletes() {
    List<ResourceKey> deletes = new ArrayList<>();
    for (int index = 0; index < request.getDeletesCount(); index++) {
      String path = "deletes[" + index + "]";
      io.umberpath.api.v1.ResourceKey key = request.getDeletes(index);
      Optional<ResourceKind> kind = ResourceCodec.kind(key.getKind());
      if (kind.isEmpty()) {
        invalid.add(new Violation(path + ".kind", kindName(key), "must be a known kind"));
      } else {
        ResourceKey deleted = new ResourceKey(kind.get(), key.getName());
        checkUnique(path, deleted);
        deletes.add(deleted);
      }
    }
    return deletes;
  }

  private static String kindName(io.umberpath.api.v1.ResourceKey key) {
    return Integer.toString(key.getKindValue());
  }

  private void checkUnique(String path, ResourceKey key) {
    if (!seen.add(key)) {
      invalid.add(new Violation(path + ".name", key.name(), "is named twice in this change"));
    }
  }

  private Optional<Resource> resource(
      String path, io.umberpath.api.v1.Resource resource, Tier changeTier) {
    String name = resource.getName();
    Tier tier = tier(path + ".tier", resource.getTier(), changeTier);
    return switch (resource.getSpecCase()) {
      case ROUTE -> Optional.of(route(name, tier, resource.getRoute()));
      case POOL -> {
        io.umberpath.api.v1.Pool pool = resource.getPool();
        yield Optional.of(
            new Pool(
                name,
                principal.tenant(),
                tier,
                pool.getService(),
                pool.getSlotsPerBackend(),
                pool.getConnectionsPerBackend()));
      }
      case SECRET -> {
        byte[] value = resource.getSecret().getValue().toByteArray();
        yield Optional.of(new Secret(name, principal.tenant(), tier, value));
      }
      case SPEC_NOT_SET -> {
        invalid.add(new Violation(path, name, "must hold a route, a pool or a secret"));
        yield Optional.empty();
      }
    };
  }

  private Route route(String name, Tier tier, io.umberpath.api.v1.Route route) {
    return new Route(
        name,
        principal.tenant(),
        tier,
        route.getHost(),
        route.getPathPrefix(),
        route.getPool(),
        route.hasSecret() ? Optional.of(route.getSecret()) : Optional.empty(),
        Set.copyOf(route.getRepeatableMethodsList()),
        route.getTimeoutMillis());
  }

  private Tier tier(String field, io.umberpath.api.v1.Tier tier, Tier unspecified) {
    Optional<Tier> known = ResourceCodec.tier(tier, unspecified);
    if (known.isEmpty()) {
      invalid.add(new Violation(field, tier.name(), "must be a known tier"));
      return unspecified;
    }
    if (!principal.tiers().contains(known.get())) {
      forbidden.add(new Violation(field, known.get().name(), "is not paid for by the token"));
    }
    return known.get();
  }
}
