package io.umberpath.node.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.google.protobuf.ByteString;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.okhttp.OkHttpChannelBuilder;
import io.grpc.protobuf.StatusProto;
import io.grpc.stub.MetadataUtils;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.umberpath.api.v1.ApplyRequest;
import io.umberpath.api.v1.ConfigurationGrpc;
import io.umberpath.api.v1.ErrorDetail;
import io.umberpath.api.v1.Pool;
import io.umberpath.api.v1.Resource;
import io.umberpath.api.v1.Route;
import io.umberpath.api.v1.Secret;
import io.umberpath.model.Tier;
import io.umberpath.node.settings.NodeSettings;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;

/** An operator server on an ephemeral port with a fake control service, and a client for it. */
public final class OperatorFixture implements AutoCloseable {
  public static final String MARKET = "token-of-market";
  public static final String ADMINISTRATOR = "token-of-administrator";
  public static final String DEALER = "token-of-dealer";

  public final FakeControlService control = new FakeControlService();
  final SimpleMeterRegistry metrics = new SimpleMeterRegistry();
  public final OperatorServer server;
  final ManagedChannel channel;

  public OperatorFixture() throws IOException {
    List<NodeSettings.Token> tokens =
        List.of(
            new NodeSettings.Token(
                sha256(MARKET), "market", List.of(Tier.STANDARD, Tier.BASIC), false),
            new NodeSettings.Token(sha256(ADMINISTRATOR), "market", List.of(Tier.PREMIUM), true),
            new NodeSettings.Token(sha256(DEALER), "dealer", List.of(Tier.BASIC), false));
    server =
        new OperatorServer(new NodeSettings.Operator("127.0.0.1", 0, tokens), control, metrics);
    server.start();
    channel =
        OkHttpChannelBuilder.forAddress(
                "127.0.0.1", server.port(), InsecureChannelCredentials.create())
            .build();
  }

  ConfigurationGrpc.ConfigurationBlockingStub as(String token) {
    return withAuthorization("Bearer " + token);
  }

  ConfigurationGrpc.ConfigurationBlockingStub withAuthorization(String... values) {
    Metadata headers = new Metadata();
    for (String value : values) {
      headers.put(BearerToken.AUTHORIZATION, value);
    }
    // The client library's connect timeout is one second, which a busy machine may exceed while it
    // starts threads. Nothing has been sent by then, so it can safely reconnect.
    return ConfigurationGrpc.newBlockingStub(channel)
        .withWaitForReady()
        .withInterceptors(MetadataUtils.newAttachHeadersInterceptor(headers));
  }

  /** Asserts that a call fails with the given code and returns its error detail. */
  static ErrorDetail failure(Status.Code code, ThrowingCallable call) {
    StatusRuntimeException thrown = catchThrowableOfType(StatusRuntimeException.class, call);
    assertThat(thrown).as("the call must fail").isNotNull();
    assertThat(thrown.getStatus().getCode()).as(thrown.toString()).isEqualTo(code);
    com.google.rpc.Status status = StatusProto.fromThrowable(thrown);
    assertThat(status.getDetailsCount()).as("details of %s", thrown).isEqualTo(1);
    try {
      return status.getDetails(0).unpack(ErrorDetail.class);
    } catch (com.google.protobuf.InvalidProtocolBufferException unreadable) {
      throw new AssertionError(unreadable);
    }
  }

  static ApplyRequest.Builder change(String requestId, Resource... upserts) {
    return ApplyRequest.newBuilder().setRequestId(requestId).addAllUpserts(List.of(upserts));
  }

  static Resource pool(String name) {
    Pool pool =
        Pool.newBuilder()
            .setService("booking")
            .setSlotsPerBackend(6)
            .setConnectionsPerBackend(130)
            .build();
    return Resource.newBuilder().setName(name).setPool(pool).build();
  }

  static Resource route(String name, String prefix, String pool) {
    Route route =
        Route.newBuilder()
            .setHost("*")
            .setPathPrefix(prefix)
            .setPool(pool)
            .addRepeatableMethods("GET")
            .setTimeoutMillis(5_000)
            .build();
    return Resource.newBuilder().setName(name).setRoute(route).build();
  }

  static Resource secret(String name, String value) {
    Secret secret = Secret.newBuilder().setValue(ByteString.copyFromUtf8(value)).build();
    return Resource.newBuilder().setName(name).setSecret(secret).build();
  }

  private static String sha256(String token) {
    try {
      byte[] bytes = token.getBytes(StandardCharsets.UTF_8);
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  @Override
  public void close() {
    channel.shutdownNow();
    server.close();
  }
}
