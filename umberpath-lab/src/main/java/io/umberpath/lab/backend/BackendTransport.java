package io.umberpath.lab.backend;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/** Listens for HTTP/1.1 on one selector thread. Thread-safe. */
final class BackendTransport implements AutoCloseable {
  private static final int MAX_HEADER_BYTES = 16_384;

  private final TCPNIOTransport transport;
  private final String host;
  private final int askedPort;
  private int port;

  BackendTransport(String host, int port, BaseFilter filter, ConnectionProbe probe) {
    this.host = host;
    this.askedPort = port;
    FilterChainBuilder chain =
        FilterChainBuilder.stateless()
            .add(new TransportFilter())
            .add(new CodecFilter())
            .add(filter);
    this.transport =
        TCPNIOTransportBuilder.newInstance()
            .setName("backend")
            .setIOStrategy(SameThreadIOStrategy.getInstance())
            .setSelectorRunnersCount(1)
            .setReuseAddress(true)
            .setTcpNoDelay(true)
            .build();
    transport.setProcessor(chain.build());
    transport.getConnectionMonitoringConfig().addProbes(probe);
  }

  /** Starts listening; throws if the port cannot be bound. */
  void start() throws IOException {
    transport.start();
    TCPNIOServerConnection listener = transport.bind(host, askedPort);
    port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
  }

  int port() {
    return port;
  }

  @Override
  public void close() {
    try {
      transport.shutdownNow();
    } catch (IOException failure) {
      throw new IllegalStateException("a back end's port could not be closed", failure);
    }
  }

  private static final class CodecFilter extends HttpServerFilter {
    @SuppressWarnings("deprecation") // The default settings allow 256 requests on a connection.
    private CodecFilter() {
      super(true, MAX_HEADER_BYTES, unlimited(), null);
      setAllowPayloadForUndefinedHttpMethods(true);
    }

    private static KeepAlive unlimited() {
      KeepAlive keepAlive = new KeepAlive();
      keepAlive.setMaxRequestsCount(-1);
      return keepAlive;
    }

    @Override
    protected void onIncomingUpgrade(FilterChainContext context, HttpHeader header) {
      // The codec would stop framing the body; no upgrade is supported, so the header is ignored.
      header.setUpgrade(null);
    }
  }
}
