package io.umberpath.node.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.umberpath.node.NodeComponent;
import io.umberpath.node.control.ControlService;
import io.umberpath.node.logs.LogFields;
import io.umberpath.node.settings.NodeSettings;
import java.io.IOException;
import java.util.Optional;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Serves {@code /metrics}, {@code /healthz}, {@code /readyz} and {@code /status} over plain HTTP.
 * Requires no authentication because it exposes no resources.
 */
public final class AdminServer implements NodeComponent {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String LISTENER = "admin";
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
  private static final String TEXT_TYPE = "text/plain; charset=utf-8";
  private static final String JSON_TYPE = "application/json";
  private static final int THREADS = 2;
  private static final int MAX_QUEUED_REQUESTS = 64;
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_METHOD_NOT_ALLOWED = 405;
  private static final int STATUS_UNAVAILABLE = 503;

  private final ObjectMapper json = new ObjectMapper();
  private final ControlService control;
  private final PrometheusMeterRegistry metrics;
  private final Readiness readiness;
  private final HttpServer server = new HttpServer();
  private final NetworkListener listener;

  /**
   * Creates a server; call {@link #start} to listen.
   *
   * @param settings address
   * @param control the node's control plane
   * @param metrics registry exposed at {@code /metrics}
   * @param readiness readiness reported at {@code /readyz}
   */
  public AdminServer(
      NodeSettings.Admin settings,
      ControlService control,
      PrometheusMeterRegistry metrics,
      Readiness readiness) {
    this.control = control;
    this.metrics = metrics;
    this.readiness = readiness;
    this.listener = new NetworkListener(LISTENER, settings.host(), settings.port());
    listener
        .getTransport()
        .setWorkerThreadPoolConfig(
            ThreadPoolConfig.defaultConfig()
                .setPoolName(LISTENER)
                .setCorePoolSize(THREADS)
                .setMaxPoolSize(THREADS)
                .setQueueLimit(MAX_QUEUED_REQUESTS)
                .setDaemon(true));
    listener.getTransport().setSelectorRunnersCount(1);
    server.addListener(listener);
    server.getServerConfiguration().addHttpHandler(new RequestHandler(), "/");
  }

  @Override
  public void start() throws IOException {
    server.start();
    logger
        .atInfo()
        .with(LogFields.EVENT, "admin-port-open")
        .with(LogFields.ADDRESS, listener.getHost() + ":" + port())
        .log("admin port open");
  }

  /** The port it listens on. */
  public int port() {
    return listener.getPort();
  }

  @Override
  public void close() {
    server.shutdownNow();
  }

  private final class RequestHandler extends HttpHandler {
    @Override
    public void service(Request request, Response response) throws IOException {
      boolean reads =
          request.getMethod().getMethodString().equals("GET")
              || request.getMethod().getMethodString().equals("HEAD");
      if (!reads) {
        send(response, STATUS_METHOD_NOT_ALLOWED, TEXT_TYPE, "only GET\n");
        return;
      }
      switch (request.getRequestURI()) {
        case "/metrics" -> send(response, STATUS_OK, METRICS_TYPE, metrics.scrape());
        case "/healthz" -> send(response, STATUS_OK, TEXT_TYPE, "alive\n");
        case "/readyz" -> sendReadiness(response);
        case "/status" -> send(response, STATUS_OK, JSON_TYPE, status());
        default ->
            send(
                response,
                STATUS_NOT_FOUND,
                TEXT_TYPE,
                "pages: /metrics /healthz /readyz /status\n");
      }
    }

    private void sendReadiness(Response response) throws IOException {
      Optional<String> obstacle = readiness.notReadyReason();
      if (obstacle.isPresent()) {
        send(response, STATUS_UNAVAILABLE, TEXT_TYPE, obstacle.get() + "\n");
      } else {
        send(response, STATUS_OK, TEXT_TYPE, "ready\n");
      }
    }

    private String status() throws JsonProcessingException {
      return json.writeValueAsString(NodeStatusReport.of(control)) + "\n";
    }

    private void send(Response response, int status, String type, String body) throws IOException {
      response.setStatus(status);
      response.setContentType(type);
      response.getWriter().write(body);
    }
  }
}
