package io.umberpath.transport;

import com.google.common.flogger.FluentLogger;
import io.umberpath.model.PeerAddress;
import io.umberpath.transport.tls.ReloadingTlsContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import javax.net.ssl.SSLException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CloseReason;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.SocketConnectorHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.CompositeBuffer;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Runs the Grizzly NIO transport. A single selector thread accepts, connects and reads, so handlers
 * must not block.
 */
final class GrizzlyEndpoint implements ConnectionManager.Dialer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int READ_BUFFER_BYTES = 16 << 10;
  private static final long CLOSE_TIMEOUT_SECONDS = 5;
  private static final int ACCEPT_BACKLOG = 256;
  private static final Attribute<PeerConnection> PEER_CONNECTION =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.peer-connection");

  private final TCPNIOTransport transport;
  private ConnectionManager connectionManager;
  private TCPNIOServerConnection server;

  /** Creates an endpoint that uses mutual TLS if a context is given, and plain text otherwise. */
  GrizzlyEndpoint(Optional<ReloadingTlsContext> tls) {
    FilterChainBuilder chain = FilterChainBuilder.stateless().add(new TransportFilter());
    tls.ifPresent(context -> chain.add(context.filter()));
    chain.add(new FrameFilter());
    transport =
        TCPNIOTransportBuilder.newInstance()
            .setName("umberpath-transport")
            .setIOStrategy(SameThreadIOStrategy.getInstance())
            .setSelectorRunnersCount(1)
            .setSelectorThreadPoolConfig(selectorThreadPool())
            .setWorkerThreadPoolConfig(null)
            .setMemoryManager(new HeapMemoryManager())
            .setReadBufferSize(READ_BUFFER_BYTES)
            .setTcpNoDelay(true)
            .setReuseAddress(true)
            .setServerConnectionBackLog(ACCEPT_BACKLOG)
            .setProcessor(chain.build())
            .build();
  }

  private static ThreadPoolConfig selectorThreadPool() {
    return ThreadPoolConfig.defaultConfig()
        .setPoolName("umberpath-transport")
        .setCorePoolSize(1)
        .setMaxPoolSize(1)
        .setDaemon(true);
  }

  /** Binds the listening socket; connections stay in the accept backlog until {@link #start}. */
  PeerAddress bind(PeerAddress listen) throws IOException {
    server = transport.bind(new InetSocketAddress(listen.host(), listen.port()));
    int port = ((InetSocketAddress) server.getLocalAddress()).getPort();
    return new PeerAddress(listen.host(), port);
  }

  void start(ConnectionManager manager) throws IOException {
    connectionManager = manager;
    transport.start();
  }

  /**
   * Closes the listening socket and waits for the selector thread to terminate, so that the port is
   * free afterwards: the operating system keeps the socket open until the selector deregisters it.
   */
  void close() {
    try {
      if (server != null) {
        server.close().get(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      }
      ExecutorService selectorExecutor = transport.getKernelThreadPool();
      transport.shutdownNow();
      awaitTermination(selectorExecutor);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException | ExecutionException | TimeoutException e) {
      logger.atWarning().withCause(e).log("Failed to close the transport cleanly");
    }
  }

  private static void awaitTermination(ExecutorService selectorExecutor)
      throws InterruptedException {
    if (selectorExecutor != null
        && !selectorExecutor.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      logger.atWarning().log(
          "Transport selector thread did not terminate; its port may still be in use");
    }
  }

  @Override
  public void dial(PeerAddress peer, PeerConnection connection) {
    SocketConnectorHandler connector = TCPNIOConnectorHandler.builder(transport).build();
    connector.connect(
        new InetSocketAddress(peer.host(), peer.port()), new ConnectHandler(connection));
  }

  private void attach(Connection<?> socket, PeerConnection connection) {
    PEER_CONNECTION.set(socket, connection);
    socket.closeFuture().addCompletionHandler(new CloseHandler(connection));
  }

  /**
   * Reports the result of a connection attempt. The raw type is the one that Grizzly's connector
   * declares.
   */
  @SuppressWarnings("rawtypes")
  private final class ConnectHandler extends EmptyCompletionHandler<Connection> {
    private final PeerConnection connection;

    ConnectHandler(PeerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void completed(Connection socket) {
      attach(socket, connection);
      connectionManager.onConnected(connection, new GrizzlySocket(socket));
    }

    @Override
    public void failed(Throwable cause) {
      connectionManager.onConnectFailed(connection, String.valueOf(cause.getMessage()));
    }

    @Override
    public void cancelled() {
      connectionManager.onConnectFailed(connection, "cancelled");
    }
  }

  /** Reports a connection that was closed by either side, with the TLS error if one caused it. */
  private final class CloseHandler extends EmptyCompletionHandler<CloseReason> {
    private final PeerConnection connection;

    CloseHandler(PeerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void completed(CloseReason reason) {
      if (reason.getCause() instanceof SSLException failure) {
        connectionManager.fail(
            connection,
            new TransportError(
                TransportFault.TLS_HANDSHAKE_FAILED, String.valueOf(failure.getMessage())));
      }
      connectionManager.onSocketClosed(connection);
    }

    @Override
    public void failed(Throwable cause) {
      connectionManager.onSocketClosed(connection);
    }
  }

  /** Passes accepted connections and received bytes to the {@link ConnectionManager}. */
  private final class FrameFilter extends BaseFilter {
    @Override
    public NextAction handleAccept(FilterChainContext context) {
      Connection<?> socket = context.getConnection();
      Optional<PeerConnection> accepted = connectionManager.onAccepted(new GrizzlySocket(socket));
      accepted.ifPresent(connection -> attach(socket, connection));
      return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
      Buffer buffer = context.getMessage();
      PeerConnection connection = PEER_CONNECTION.get(context.getConnection());
      if (connection != null) {
        connectionManager.onBytes(connection, buffer.toByteBuffer());
      }
      buffer.tryDispose();
      return context.getStopAction();
    }
  }

  /** Adapts a Grizzly connection to {@link PeerConnection.Socket}. */
  private final class GrizzlySocket implements PeerConnection.Socket {
    private final Connection<?> socket;

    GrizzlySocket(Connection<?> socket) {
      this.socket = socket;
    }

    @Override
    public void write(List<byte[]> frames, Runnable onWritten) {
      write(socket, toBuffer(frames), onWritten);
    }

    private <L> void write(Connection<L> target, Buffer buffer, Runnable onWritten) {
      target.write(buffer, new WriteHandler<>(target, onWritten));
    }

    private Buffer toBuffer(List<byte[]> frames) {
      MemoryManager<?> memory = socket.getMemoryManager();
      List<Buffer> buffers = new ArrayList<>();
      frames.forEach(frame -> buffers.add(Buffers.wrap(memory, frame)));
      return buffers.size() == 1
          ? buffers.get(0)
          : CompositeBuffer.newBuffer(memory, buffers.toArray(Buffer[]::new));
    }

    @Override
    public void close() {
      socket.closeSilently();
    }

    @Override
    public void abort() {
      socket.terminateSilently();
    }
  }

  /** Reports a completed write; terminates the connection if the write failed. */
  private final class WriteHandler<L> extends EmptyCompletionHandler<WriteResult<Buffer, L>> {
    private final Connection<L> socket;
    private final Runnable onWritten;

    WriteHandler(Connection<L> socket, Runnable onWritten) {
      this.socket = socket;
      this.onWritten = onWritten;
    }

    @Override
    public void completed(WriteResult<Buffer, L> result) {
      onWritten.run();
    }

    @Override
    public void failed(Throwable cause) {
      socket.terminateSilently();
    }
  }
}
