package io.umberpath.node.operator;

import io.umberpath.api.v1.Kind;
import io.umberpath.model.Pool;
import io.umberpath.model.Resource;
import io.umberpath.model.ResourceKind;
import io.umberpath.model.Route;
import io.umberpath.model.Tier;
import io.umberpath.model.Version;
import io.umberpath.model.Violation;
import java.util.Optional;

/** Converts between the model and protobuf messages. Secret values are never written out. */
final class ResourceCodec {
  private ResourceCodec() {}

  static io.umberpath.api.v1.Version version(Version version) {
    return io.umberpath.api.v1.Version.newBuilder()
        .setEpoch(version.epoch())
        .setSequence(version.sequence())
        .build();
  }

  static Version version(io.umberpath.api.v1.Version version) {
    return new Version(version.getEpoch(), version.getSequence());
  }

  static io.umberpath.api.v1.Violation violation(Violation violation) {
    return io.umberpath.api.v1.Violation.newBuilder()
        .setField(violation.field())
        .setValue(violation.value())
        .setMessage(violation.message())
        .build();
  }

  static io.umberpath.api.v1.Tier tier(Tier tier) {
    return switch (tier) {
      case PREMIUM -> io.umberpath.api.v1.Tier.TIER_PREMIUM;
      case STANDARD -> io.umberpath.api.v1.Tier.TIER_STANDARD;
      case BASIC -> io.umberpath.api.v1.Tier.TIER_BASIC;
    };
  }

  /** Returns the tier; empty if this version of the program does not know it. */
  static Optional<Tier> tier(io.umberpath.api.v1.Tier tier, Tier unspecified) {
    return switch (tier) {
      case TIER_UNSPECIFIED -> Optional.of(unspecified);
      case TIER_PREMIUM -> Optional.of(Tier.PREMIUM);
      case TIER_STANDARD -> Optional.of(Tier.STANDARD);
      case TIER_BASIC -> Optional.of(Tier.BASIC);
      case UNRECOGNIZED -> Optional.empty();
    };
  }

  /** Returns the kind; empty if unspecified or unknown to this version of the program. */
  static Optional<ResourceKind> kind(Kind kind) {
    return switch (kind) {
      case KIND_ROUTE -> Optional.of(ResourceKind.ROUTE);
      case KIND_POOL -> Optional.of(ResourceKind.POOL);
      case KIND_SECRET -> Optional.of(ResourceKind.SECRET);
      case KIND_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
    };
  }

  static io.umberpath.api.v1.Resource resource(Resource resource) {
    io.umberpath.api.v1.Resource.Builder builder =
        io.umberpath.api.v1.Resource.newBuilder()
            .setName(resource.name())
            .setTier(tier(resource.tier()));
    if (resource instanceof Route route) {
      builder.setRoute(route(route));
    } else if (resource instanceof Pool pool) {
      builder.setPool(pool(pool));
    } else {
      builder.setSecret(io.umberpath.api.v1.Secret.getDefaultInstance());
    }
    return builder.build();
  }

  private static io.umberpath.api.v1.Route route(Route route) {
    io.umberpath.api.v1.Route.Builder builder =
        io.umberpath.api.v1.Route.newBuilder()
            .setHost(route.host())
            .setPathPrefix(route.pathPrefix())
            .setPool(route.pool())
            .addAllRepeatableMethods(route.repeatableMethods())
            .setTimeoutMillis(route.timeoutMillis());
    route.secret().ifPresent(builder::setSecret);
    return builder.build();
  }

  private static io.umberpath.api.v1.Pool pool(Pool pool) {
    return io.umberpath.api.v1.Pool.newBuilder()
        .setService(pool.service())
        .setSlotsPerBackend(pool.slotsPerBackend())
        .setConnectionsPerBackend(pool.connectionsPerBackend())
        .build();
  }
}
