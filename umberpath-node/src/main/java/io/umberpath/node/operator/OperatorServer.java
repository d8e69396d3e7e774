package io.umberpath.node.operator;

import com.google.common.flogger.FluentLogger;
import com.google.common.net.InetAddresses;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import io.grpc.InsecureServerCredentials;
import io.grpc.Server;
import io.grpc.ServerInterceptors;
import io.grpc.health.v1.HealthCheckResponse.ServingStatus;
import io.grpc.okhttp.OkHttpServerBuilder;
import io.grpc.protobuf.services.HealthStatusManager;
import io.grpc.protobuf.services.ProtoReflectionServiceV1;
import io.micrometer.core.instrument.MeterRegistry;
import io.umberpath.api.v1.ConfigurationGrpc;
import io.umberpath.node.NodeComponent;
import io.umberpath.node.control.ControlService;
import io.umberpath.node.logs.LogFields;
import io.umberpath.node.settings.NodeSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * The operators' gRPC server, with the health and reflection services. Uses plain text, so it must
 * listen on a loopback address or in a trusted network.
 */
public final class OperatorServer implements NodeComponent {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int THREADS = 4;
  private static final int MAX_SHORT_CALLS = 256;
  private static final int MAX_LONG_CALLS = 256;
  private static final int MAX_CALLS_PER_TENANT = 128;
  private static final int MAX_CALLS_PER_CONNECTION = 256;
  private static final int MAX_MESSAGE_BYTES = 8 << 20;
  private static final int MAX_METADATA_BYTES = 8 << 10;
  private static final long IDLE_MINUTES = 10;
  private static final long HANDSHAKE_SECONDS = 10;
  private static final long STOP_SECONDS = 5;

  private final String host;
  private final Server server;
  private final HealthStatusManager health = new HealthStatusManager();
  private final ScheduledExecutorService scheduler;
  private final ExecutorService executor;

  /**
   * Creates a server; call {@link #start} to listen.
   *
   * @param settings address and tokens
   * @param control the node's control plane
   * @param metrics registry for call metrics
   */
  public OperatorServer(
      NodeSettings.Operator settings, ControlService control, MeterRegistry metrics) {
    this.host = settings.host();
    this.scheduler = Executors.newSingleThreadScheduledExecutor(threads("operator-timer"));
    this.executor = Executors.newFixedThreadPool(THREADS, threads("operator-call-%d"));
    InetSocketAddress address = new InetSocketAddress(settings.host(), settings.port());
    this.server =
        OkHttpServerBuilder.forPort(address, InsecureServerCredentials.create())
            .executor(executor)
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .maxInboundMetadataSize(MAX_METADATA_BYTES)
            .maxConcurrentCallsPerConnection(MAX_CALLS_PER_CONNECTION)
            .maxConnectionIdle(IDLE_MINUTES, TimeUnit.MINUTES)
            .handshakeTimeout(HANDSHAKE_SECONDS, TimeUnit.SECONDS)
            .addService(
                ServerInterceptors.interceptForward(
                    new ConfigurationService(control, scheduler),
                    new CallMetrics(metrics),
                    new TokenAuthenticator(settings.tokens()),
                    new CallLimiter(MAX_SHORT_CALLS, MAX_LONG_CALLS, MAX_CALLS_PER_TENANT)))
            .addService(health.getHealthService())
            .addService(ProtoReflectionServiceV1.newInstance())
            .build();
  }

  @Override
  public void start() throws IOException {
    server.start();
    health.setStatus(ConfigurationGrpc.SERVICE_NAME, ServingStatus.SERVING);
    logger
        .atInfo()
        .with(LogFields.EVENT, "operator-port-open")
        .with(LogFields.ADDRESS, host + ":" + port())
        .log("operators' port open");
    if (!InetAddresses.forString(host).isLoopbackAddress()) {
      logger
          .atWarning()
          .with(LogFields.EVENT, "operator-port-plain-text")
          .with(LogFields.ADDRESS, host + ":" + port())
          .log("tokens and secrets cross the network in plain text");
    }
  }

  /** Returns the port it listens on; -1 before it is started. */
  public int port() {
    return server.getPort();
  }

  /** Rejects new calls, waits up to {@link #STOP_SECONDS} for calls in flight, and stops. */
  @Override
  public void close() {
    health.enterTerminalState();
    server.shutdown();
    try {
      if (!server.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS)) {
        server.shutdownNow();
      }
    } catch (InterruptedException interrupted) {
      server.shutdownNow();
      Thread.currentThread().interrupt();
    }
    stopExecutors();
  }

  private void stopExecutors() {
    scheduler.shutdownNow();
    executor.shutdown();
  }

  private static ThreadFactory threads(String format) {
    return new ThreadFactoryBuilder().setNameFormat(format).setDaemon(true).build();
  }
}
