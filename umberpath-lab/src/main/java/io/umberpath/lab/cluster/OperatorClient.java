package io.umberpath.lab.cluster;

import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.okhttp.OkHttpChannelBuilder;
import io.umberpath.api.v1.ApplyRequest;
import io.umberpath.api.v1.ConfigurationGrpc;
import io.umberpath.api.v1.DrainRequest;
import io.umberpath.api.v1.FleetStatusRequest;
import io.umberpath.api.v1.FleetStatusResponse;
import io.umberpath.api.v1.Version;
import io.umberpath.api.v1.WaitRequest;
import io.umberpath.node.operator.BearerToken;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * An operator's client of one node; a failed call throws {@link io.grpc.StatusRuntimeException}.
 */
public final class OperatorClient implements AutoCloseable {
  private final ManagedChannel channel;
  private final ConfigurationGrpc.ConfigurationBlockingStub stub;

  OperatorClient(NodeSpec node, String token) {
    channel =
        OkHttpChannelBuilder.forAddress(
                node.host(), Ports.OPERATOR, InsecureChannelCredentials.create())
            .build();
    stub = ConfigurationGrpc.newBlockingStub(channel).withInterceptors(BearerToken.attach(token));
  }

  /** Applies a change; returns the version that first contains it. */
  public Version apply(ApplyRequest change, Duration timeout) {
    return within(timeout).apply(change).getVersion();
  }

  /** Returns once the version is in force in every member. */
  public void await(Version version, Duration timeout) {
    within(timeout).wait(WaitRequest.newBuilder().setVersion(version).build());
  }

  /** The fleet as the leader sees it. */
  public FleetStatusResponse fleet(Duration timeout) {
    return within(timeout).fleetStatus(FleetStatusRequest.getDefaultInstance());
  }

  /** Starts or ends the draining of a back end; returns once that is accepted. */
  public Version drain(String requestId, String backendId, boolean draining, Duration timeout) {
    DrainRequest request =
        DrainRequest.newBuilder()
            .setRequestId(requestId)
            .setBackendId(backendId)
            .setDraining(draining)
            .build();
    return within(timeout).drain(request).getVersion();
  }

  private ConfigurationGrpc.ConfigurationBlockingStub within(Duration timeout) {
    return stub.withDeadlineAfter(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    channel.shutdownNow();
  }
}
