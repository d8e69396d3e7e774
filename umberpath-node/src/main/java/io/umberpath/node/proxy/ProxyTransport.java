package io.umberpath.node.proxy;

import io.umberpath.model.PeerAddress;
import io.umberpath.node.proxy.http.ClientCodecFilter;
import io.umberpath.node.proxy.http.ServerCodecFilter;
import io.umberpath.node.proxy.inbound.InboundFilter;
import io.umberpath.node.proxy.loop.EventLoop;
import io.umberpath.node.proxy.loop.IterationListener;
import io.umberpath.node.proxy.origin.OriginConnection;
import io.umberpath.node.proxy.origin.OriginFilter;
import io.umberpath.node.proxy.pool.Connector;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;

/**
 * Grizzly's TCP transport with the proxy's filter chains. Filters run on the selector threads,
 * without a worker pool, and must not block.
 */
public final class ProxyTransport implements Connector {
  private static final int MAX_SELECTOR_THREADS = 4;
  private static final int WRITE_QUEUE_BYTES = 256 * 1024;
  private static final int READ_BUFFER_BYTES = 32 * 1024;
  private static final int BACKLOG = 1024;

  private final TCPNIOTransport transport;
  private final TCPNIOConnectorHandler connector;
  private final EventLoop eventLoop;
  private final Set<Runnable> pendingChecks = ConcurrentHashMap.newKeySet();
  private final int maxHeaderBytes;

  ProxyTransport(int maxHeaderBytes, Consumer<OriginConnection> onReusable) {
    this(maxHeaderBytes, onReusable, selectorThreads());
  }

  ProxyTransport(int maxHeaderBytes, Consumer<OriginConnection> onReusable, int threads) {
    this(maxHeaderBytes, onReusable, threads, IterationListener.NONE);
  }

  /**
   * Creates a transport that is not started yet.
   *
   * @param maxHeaderBytes largest message head, bytes
   * @param onReusable receives a connection that can be reused after its attempt
   * @param threads number of selector threads
   * @param iterationListener is notified of event loop iterations that delayed input
   */
  public ProxyTransport(
      int maxHeaderBytes,
      Consumer<OriginConnection> onReusable,
      int threads,
      IterationListener iterationListener) {
    this.maxHeaderBytes = maxHeaderBytes;
    this.eventLoop = new EventLoop(iterationListener);
    SelectorEventStrategy strategy = new SelectorEventStrategy(BACKLOG);
    this.transport =
        TCPNIOTransportBuilder.newInstance()
            .setName("umberpath-proxy")
            .setIOStrategy(strategy)
            .setSelectorHandler(eventLoop)
            .setSelectorRunnersCount(threads)
            .setReadBufferSize(READ_BUFFER_BYTES)
            .setTcpNoDelay(true)
            .setServerConnectionBackLog(BACKLOG)
            .build();
    transport.getConnectionMonitoringConfig().addProbes(strategy);
    transport.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(WRITE_QUEUE_BYTES);
    this.connector =
        TCPNIOConnectorHandler.builder(transport).processor(clientChain(onReusable)).build();
  }

  private static int selectorThreads() {
    return Math.min(MAX_SELECTOR_THREADS, Runtime.getRuntime().availableProcessors());
  }

  private FilterChain clientChain(Consumer<OriginConnection> onReusable) {
    OriginFilter originFilter = new OriginFilter(onReusable);
    return FilterChainBuilder.stateless()
        .add(new ReadFilter())
        .add(new ClientCodecFilter(maxHeaderBytes, originFilter))
        .add(originFilter)
        .build();
  }

  /** Starts the selector threads. */
  public void start() throws IOException {
    transport.start();
  }

  /**
   * Listens on a port.
   *
   * @param requestFilter handles the decoded requests
   */
  public TCPNIOServerConnection listen(String host, int port, Filter requestFilter)
      throws IOException {
    FilterChain chain =
        FilterChainBuilder.stateless()
            .add(new ReadFilter())
            .add(new ServerCodecFilter(maxHeaderBytes))
            .add(requestFilter)
            .build();
    return TCPNIOBindingHandler.builder(transport)
        .processor(chain)
        .build()
        .bind(new InetSocketAddress(host, port));
  }

  /**
   * Runs a timeout check at once, or, if reading is behind, after the pending input has been read:
   * a selector thread that got no CPU may not yet have read the response, or handled the opened
   * connection, that the timer misses. A check that is already pending is not queued again.
   *
   * @param isTimerLate whether the calling timer itself got no CPU
   * @return whether the check ran at once
   */
  public boolean checkTimeouts(Runnable check, boolean isTimerLate) {
    boolean isBehind = isTimerLate || eventLoop.isBehind();
    if (isBehind) {
      checkAfterReading(check);
    } else {
      check.run();
    }
    return !isBehind;
  }

  private void checkAfterReading(Runnable check) {
    if (pendingChecks.add(check)) {
      eventLoop.runAfterReading(
          () -> {
            pendingChecks.remove(check);
            check.run();
          });
    }
  }

  /** Listens on a port; its connections can be shut down in order. */
  public Listener listen(String host, int port, InboundFilter requestFilter) throws IOException {
    return new Listener(listen(host, port, (Filter) requestFilter), requestFilter);
  }

  @Override
  @SuppressWarnings("rawtypes") // Grizzly's own signature
  public void connect(PeerAddress address, CompletionHandler<Connection> handler) {
    connector.connect(new InetSocketAddress(address.host(), address.port()), handler);
  }

  /** Stops and closes every connection. */
  public void stop() throws IOException {
    transport.shutdownNow();
  }
}
