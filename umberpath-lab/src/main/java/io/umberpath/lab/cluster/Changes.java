package io.umberpath.lab.cluster;

import com.google.protobuf.ByteString;
import io.umberpath.api.v1.ApplyRequest;
import io.umberpath.api.v1.Pool;
import io.umberpath.api.v1.Resource;
import io.umberpath.api.v1.Route;
import io.umberpath.api.v1.Secret;
import io.umberpath.api.v1.Tier;
import io.umberpath.lab.workload.RequestKind;

/** The operators' changes of a deployment. */
public final class Changes {
  private static final String SECRET = "backend-credential";
  private static final int SLOTS = 6;
  private static final int CONNECTIONS = 130;
  private static final long TIMEOUT_MILLIS = 20_000;

  private Changes() {}

  /** All routes and pools, and the secret that one-time requests carry. */
  public static ApplyRequest everything(DeploymentProfile profile, String requestId) {
    ApplyRequest.Builder change = change(requestId);
    change.addUpserts(
        resource(SECRET).setSecret(Secret.newBuilder().setValue(ByteString.copyFromUtf8(SECRET))));
    for (DeploymentProfile.Service service : profile.services()) {
      change.addUpserts(
          resource(service.name())
              .setPool(
                  Pool.newBuilder()
                      .setService(service.name())
                      .setSlotsPerBackend(SLOTS)
                      .setConnectionsPerBackend(CONNECTIONS)));
      for (RequestKind kind : service.kinds()) {
        change.addUpserts(route(kind, service.name(), TIMEOUT_MILLIS));
      }
    }
    return change.build();
  }

  /** A change of one route's timeout: small, and another one for each number. */
  public static ApplyRequest oneRoute(DeploymentProfile profile, String requestId, int number) {
    DeploymentProfile.Service service = profile.services().get(0);
    Resource.Builder route =
        route(service.kinds().get(0), service.name(), TIMEOUT_MILLIS + 1 + number);
    return change(requestId).addUpserts(route).build();
  }

  private static ApplyRequest.Builder change(String requestId) {
    return ApplyRequest.newBuilder().setRequestId(requestId).setTier(Tier.TIER_PREMIUM);
  }

  private static Resource.Builder resource(String name) {
    return Resource.newBuilder().setName(name).setTier(Tier.TIER_PREMIUM);
  }

  private static Resource.Builder route(RequestKind kind, String pool, long timeoutMillis) {
    Route.Builder route =
        Route.newBuilder()
            .setHost("*")
            .setPathPrefix(kind.path())
            .setPool(pool)
            .setTimeoutMillis(timeoutMillis);
    if (kind.isRepeatable()) {
      route.addRepeatableMethods(kind.method());
    } else {
      route.setSecret(SECRET);
    }
    return resource(kind.path().substring(1)).setRoute(route);
  }
}
