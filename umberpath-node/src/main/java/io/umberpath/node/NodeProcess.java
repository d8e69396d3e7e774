package io.umberpath.node;

import com.google.common.flogger.FluentLogger;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.umberpath.control.ControlMessage;
import io.umberpath.control.ControlNodes;
import io.umberpath.model.Member;
import io.umberpath.node.admin.AdminServer;
import io.umberpath.node.admin.NodeMetrics;
import io.umberpath.node.admin.Readiness;
import io.umberpath.node.admin.TransportMetrics;
import io.umberpath.node.control.ControlRuntime;
import io.umberpath.node.control.ControlRuntimeSettings;
import io.umberpath.node.logs.LogFields;
import io.umberpath.node.operator.OperatorServer;
import io.umberpath.node.platform.HttpPlatformReader;
import io.umberpath.node.proxy.ProxyServer;
import io.umberpath.node.proxy.stats.MeterRegistryStats;
import io.umberpath.node.settings.NodeSettings;
import io.umberpath.transport.GrizzlyTransport;
import io.umberpath.transport.MessageCodec;
import io.umberpath.transport.TransportSettings;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

/**
 * A node: control plane, proxy, operator server and admin server. Started and closed once, from any
 * thread. {@link #close} shuts down gracefully: it lets requests in flight finish.
 */
public final class NodeProcess implements NodeComponent {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int NO_PORT = -1;

  private final NodeSettings settings;
  private final PrometheusMeterRegistry metrics =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final CountDownLatch terminated = new CountDownLatch(1);
  private final Deque<AutoCloseable> startedComponents = new ArrayDeque<>();
  private volatile boolean failed = false;
  private volatile boolean draining = false;
  private GrizzlyTransport transport;
  private ControlRuntime control;
  private Optional<ProxyServer> proxy = Optional.empty();
  private OperatorServer operator;
  private AdminServer admin;

  /** Creates a node; call {@link #start} to run it. */
  public NodeProcess(NodeSettings settings) {
    this.settings = settings;
  }

  /** Starts every component; if one fails to start, the components started before are closed. */
  @Override
  public synchronized void start() throws IOException {
    if (draining) {
      return;
    }
    boolean complete = false;
    try {
      startControl();
      startProxy();
      startServers();
      complete = true;
    } finally {
      if (!complete) {
        closeStarted();
      }
    }
    logger
        .atInfo()
        .with(LogFields.EVENT, "node-started")
        .with(LogFields.ADDRESS, settings.control().self().address().toString())
        .with(LogFields.EDGE_PORT, edgePort())
        .with(LogFields.HOP_PORT, hopPort())
        .with(LogFields.OPERATOR_PORT, operatorPort())
        .with(LogFields.ADMIN_PORT, adminPort())
        .log("node started");
  }

  /** Returns the port for clients, or -1 if it is disabled. */
  public synchronized int edgePort() {
    return proxy.map(ProxyServer::edgePort).orElse(NO_PORT);
  }

  /** Returns the port for requests from other nodes, or -1 if it is disabled. */
  public synchronized int hopPort() {
    return proxy.map(ProxyServer::hopPort).orElse(NO_PORT);
  }

  /** Returns the operators' port; valid after {@link #start}. */
  public synchronized int operatorPort() {
    return operator.port();
  }

  /** Returns the admin port; valid after {@link #start}. */
  public synchronized int adminPort() {
    return admin.port();
  }

  private void startControl() throws IOException {
    Member self = settings.control().self();
    TransportSettings connections =
        TransportSettings.withDefaults(self.address(), self.incarnation(), settings.security());
    transport = new GrizzlyTransport(connections, new MessageCodec<>(ControlMessage.class));
    HttpPlatformReader reader = HttpPlatformReader.open(settings.platform(), self.address());
    startedComponents.push(reader);
    control =
        new ControlRuntime(
            ControlNodes.create(settings.control()),
            transport,
            reader,
            ControlRuntimeSettings.DEFAULT,
            this::onControlFailure);
    startedComponents.push(control);
    control.start();
  }

  private void startProxy() throws IOException {
    ProxyServer server =
        new ProxyServer(
            settings.proxy(),
            settings.control().self().zone(),
            control,
            new MeterRegistryStats(metrics));
    startedComponents.push(server);
    server.start();
    proxy = Optional.of(server);
  }

  private void startServers() throws IOException {
    NodeMetrics.register(metrics, control);
    TransportMetrics.register(metrics, transport, control);
    operator = new OperatorServer(settings.operator(), control, metrics);
    startedComponents.push(operator);
    operator.start();
    Readiness notDraining = () -> draining ? Optional.of("draining") : Optional.empty();
    admin =
        new AdminServer(settings.admin(), control, metrics, notDraining.and(Readiness.of(control)));
    startedComponents.push(admin);
    admin.start();
  }

  /** Waits until {@link #close} completes or the control plane fails; returns true if it failed. */
  public boolean awaitTermination() throws InterruptedException {
    terminated.await();
    return failed;
  }

  private void onControlFailure() {
    failed = true;
    logger.atSevere().with(LogFields.EVENT, "node-failed").log("the control side failed");
    terminated.countDown();
  }

  /** Drains the proxy, then closes all components in reverse order of their start. */
  @Override
  public void close() {
    draining = true;
    synchronized (this) {
      if (!startedComponents.isEmpty()) {
        logger.atInfo().with(LogFields.EVENT, "node-draining").log("planned stop");
        proxy.ifPresent(this::drain);
        closeStarted();
        logger.atInfo().with(LogFields.EVENT, "node-stopped").log("node stopped");
      }
    }
    terminated.countDown();
  }

  private void drain(ProxyServer server) {
    try {
      boolean finished = server.drain(Duration.ofMillis(settings.proxy().drainMillis()));
      logger
          .atInfo()
          .with(LogFields.EVENT, "node-drained")
          .log("every request in flight ended: %s", finished);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void closeStarted() {
    while (!startedComponents.isEmpty()) {
      AutoCloseable component = startedComponents.pop();
      try {
        component.close();
      } catch (Exception failure) {
        logger
            .atWarning()
            .withCause(failure)
            .with(LogFields.EVENT, "node-part-not-closed")
            .log("%s did not close", component.getClass().getSimpleName());
      }
    }
    metrics.close();
  }
}
