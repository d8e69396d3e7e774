package io.umberpath.lab.http;

import java.io.IOException;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** One Grizzly HTTP server with one selector thread and a few workers. Thread-safe. */
public final class LabHttpServer implements AutoCloseable {
  private static final String LISTENER = "lab";
  private static final int WORKERS = 2;
  private static final Logger GRIZZLY = Logger.getLogger("org.glassfish.grizzly");

  static {
    // The logger is kept in a field: the logging library holds loggers weakly.
    GRIZZLY.setLevel(Level.WARNING);
  }

  private final HttpServer server;
  private final NetworkListener listener;

  private LabHttpServer(HttpServer server, NetworkListener listener) {
    this.server = server;
    this.listener = listener;
  }

  /**
   * Prepares a server.
   *
   * @param host IP address to listen on
   * @param port port; 0 picks a free one at start
   * @param handler answers every request
   */
  public static LabHttpServer create(String host, int port, HttpHandler handler) {
    NetworkListener listener = new NetworkListener(LISTENER, host, port);
    listener.getTransport().setWorkerThreadPoolConfig(workers());
    listener.getTransport().setSelectorRunnersCount(1);
    listener.getTransport().setReuseAddress(true);
    listener.getTransport().setTcpNoDelay(true);
    listener.getKeepAlive().setMaxRequestsCount(-1);
    listener.getKeepAlive().setIdleTimeoutInSeconds(-1);
    HttpServer server = new HttpServer();
    server.addListener(listener);
    server.getServerConfiguration().addHttpHandler(handler, "/*");
    server.getServerConfiguration().setAllowPayloadForUndefinedHttpMethods(true);
    return new LabHttpServer(server, listener);
  }

  /**
   * Starts listening.
   *
   * @throws IOException if the port cannot be bound
   */
  public void start() throws IOException {
    server.start();
  }

  /** The port it listens on. */
  public int port() {
    return listener.getPort();
  }

  /** Closes the port and every connection at once. */
  @Override
  public void close() {
    server.shutdownNow();
  }

  private static ThreadPoolConfig workers() {
    return ThreadPoolConfig.defaultConfig()
        .setPoolName("lab-http")
        .setCorePoolSize(WORKERS)
        .setMaxPoolSize(WORKERS)
        .setDaemon(true);
  }
}
