package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.node.proxy.inbound.ActiveExchanges;
import io.umberpath.node.proxy.inbound.ConnectionLog;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.node.proxy.inbound.ExchangeEnvironment;
import io.umberpath.node.proxy.inbound.InboundFilter;
import io.umberpath.node.proxy.inbound.Refusal;
import io.umberpath.node.proxy.inbound.RequestPlan;
import io.umberpath.node.proxy.origin.AttemptLog;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.proxy.stats.ProxyStats;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * A proxy on one selector thread with two origins that the test simulates. Their socket buffers are
 * so small that output soon waits in the proxy's write queue.
 */
final class QueuedWriteFixture implements AutoCloseable {
  /** Deadline of requests for the path {@code /short}, milliseconds. */
  static final long SHORT_DEADLINE_MILLIS = 200;

  private static final int SOCKET_BYTES = 2_048;
  private static final int TIMEOUT_MILLIS = 5_000;
  private static final int POLL_MILLIS = 2;

  /** Paths of requests that are refused, and the reasons. */
  private static final Map<String, Verdict.Reason> REFUSED_FOR =
      Map.of(
          "/refused", Verdict.Reason.NO_ROUTE,
          "/block", Verdict.Reason.NO_ROUTE,
          "/bad-request", Verdict.Reason.BAD_REQUEST,
          "/too-large", Verdict.Reason.TOO_LARGE,
          "/deadline", Verdict.Reason.DEADLINE,
          "/overloaded", Verdict.Reason.OVERLOADED,
          "/lost", Verdict.Reason.CONNECTION_LOST);

  /** Requests in sequence after which the selector thread has read everything sent before them. */
  private static final int READ_ROUNDS = 8;

  private final ProxyTransport transport =
      new ProxyTransport(ProxyFixture.MAX_HEADER_BYTES, ConnectionPool::returnToPool, 1);
  private final List<ServerSocket> servers = List.of(server(), server());
  private final List<ConnectionPool> pools = new ArrayList<>();
  private final Map<Integer, NIOConnection> opened = new ConcurrentHashMap<>();
  private final SelectorBlock selectorBlock = new SelectorBlock();
  private final AtomicLong clockMillis = new AtomicLong();
  private final int port;
  private final Map<Integer, NIOConnection> accepted = new ConcurrentHashMap<>();
  private volatile int narrowPort;
  private volatile NIOConnection narrowClient;
  private volatile boolean retryPermitted;
  private volatile Exchange heldExchange;
  private volatile int heldPort;
  private volatile Runnable heldConnectAttempt;

  QueuedWriteFixture() throws IOException {
    for (ServerSocket server : servers) {
      PeerAddress address = new PeerAddress("127.0.0.1", server.getLocalPort());
      pools.add(new ConnectionPool(address, this::open, 2, () -> 0));
    }
    transport.start();
    ExchangeEnvironment environment =
        new ExchangeEnvironment(
            clockMillis::get,
            ProxyStats.NONE,
            AttemptLog.CUT_OFF_ONLY,
            ConnectionLog.NONE,
            new ActiveExchanges(),
            () -> Long.MAX_VALUE);
    InboundFilter filter = new InboundFilter(new Handler(), environment);
    var listener = transport.listen("127.0.0.1", 0, new AcceptedConnections(filter));
    port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
  }

  private static ServerSocket server() throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReceiveBufferSize(SOCKET_BYTES);
    server.setSoTimeout(TIMEOUT_MILLIS);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return server;
  }

  @SuppressWarnings("rawtypes") // Grizzly's own signature
  private void open(PeerAddress address, CompletionHandler<Connection> handler) {
    if (address.port() == heldPort) {
      heldConnectAttempt = () -> openNow(address, handler);
    } else {
      openNow(address, handler);
    }
  }

  void advance(long millis) {
    clockMillis.addAndGet(millis);
  }

  /** Returns once the selector thread is blocked. */
  void blockSelector() throws IOException, InterruptedException {
    selectorBlock.block(connect());
  }

  /** Unblocks the selector thread once it is late by {@link SelectorBlock#LATE_MILLIS}. */
  void unblockSelectorLate() throws InterruptedException {
    selectorBlock.releaseLate();
  }

  /**
   * From now on connections to an origin open only when {@link #releaseConnectAttempt} is called.
   */
  void holdConnectAttempts(int origin) {
    heldPort = servers.get(origin).getLocalPort();
  }

  void awaitHeldConnectAttempt() throws Exception {
    await(() -> heldConnectAttempt != null);
  }

  void releaseConnectAttempt() {
    heldConnectAttempt.run();
  }

  @SuppressWarnings("rawtypes") // Grizzly's own signature
  private void openNow(PeerAddress address, CompletionHandler<Connection> handler) {
    transport.connect(
        address,
        new EmptyCompletionHandler<>() {
          @Override
          public void completed(Connection connection) {
            narrow((NIOConnection) connection);
            opened.put(address.port(), (NIOConnection) connection);
            handler.completed(connection);
          }

          @Override
          public void failed(Throwable error) {
            handler.failed(error);
          }
        });
  }

  private static void narrow(NIOConnection connection) {
    try {
      ((SocketChannel) connection.getChannel())
          .setOption(StandardSocketOptions.SO_SNDBUF, SOCKET_BYTES);
    } catch (IOException error) {
      throw new java.io.UncheckedIOException(error);
    }
  }

  private NIOConnection opened(int origin) {
    return opened.get(servers.get(origin).getLocalPort());
  }

  RawConnection connect() throws IOException {
    RawConnection client = new RawConnection(port);
    client.socket.setSoTimeout(TIMEOUT_MILLIS);
    return client;
  }

  /** A client with a small receive buffer. */
  RawConnection connectNarrow() throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(SOCKET_BYTES);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    narrowPort = socket.getLocalPort();
    return new RawConnection(socket);
  }

  /** The origin's end of a connection that the proxy has opened. */
  RawConnection acceptOrigin(int origin) throws IOException {
    RawConnection accepted = new RawConnection(servers.get(origin).accept());
    accepted.socket.setSoTimeout(TIMEOUT_MILLIS);
    return accepted;
  }

  /** The origin's end of an idle connection that has served a request. */
  RawConnection idleOriginConnection(int origin, RawConnection client) throws IOException {
    client.send("GET /rest HTTP/1.1\r\nHost: a\r\n\r\n");
    RawConnection accepted = acceptOrigin(origin);
    accepted.readHead();
    accepted.send("HTTP/1.1 204 No Content\r\n\r\n");
    client.read();
    return accepted;
  }

  /** The next failed attempt is retried. */
  void permitRetry() {
    retryPermitted = true;
  }

  /** Waits until a request is held until another one ends. */
  void awaitHeldExchange() throws Exception {
    await(() -> heldExchange != null);
  }

  /**
   * Sends the start of a request, and its end once part of the start waits in the write queue of
   * the origin's connection. Several parts then wait, which the transport writes together.
   */
  void sendParts(RawConnection client, int origin, String beginning, String end) throws Exception {
    client.send(beginning);
    await(() -> opened(origin) != null && hasQueue(opened(origin)));
    awaitAllRead();
    client.send(end);
    awaitAllRead();
  }

  /** Sends a response in the same way, to a client with a small receive buffer. */
  void respondInParts(RawConnection origin, String beginning, String end) throws Exception {
    origin.send(beginning);
    await(() -> hasQueue(narrowClient));
    awaitAllRead();
    origin.send(end);
    awaitAllRead();
  }

  private static boolean hasQueue(NIOConnection connection) {
    return connection.getAsyncWriteQueue().spaceInBytes() > 0;
  }

  /** Waits until the proxy has read everything that was sent before. */
  void awaitAllRead() throws IOException {
    try (RawConnection client = connect()) {
      for (int round = 0; round < READ_ROUNDS; round++) {
        client.send("GET /refused HTTP/1.1\r\nHost: a\r\n\r\n");
        client.read();
      }
    }
  }

  private static void await(BooleanSupplier condition) throws Exception {
    long end = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("condition within the timeout").isLessThan(end);
      Thread.sleep(POLL_MILLIS);
    }
  }

  /** Resets an origin's connection so that only a write finds out. */
  void breakOrigin(int origin) throws IOException {
    RawConnection accepted = acceptOrigin(origin);
    opened(origin).disableIOEvent(IOEvent.READ);
    accepted.reset();
  }

  /** Resets a client's connection so that only a write finds out. */
  void breakClient(RawConnection client) throws IOException {
    narrowClient.disableIOEvent(IOEvent.READ);
    client.reset();
  }

  @Override
  public void close() throws IOException {
    selectorBlock.close();
    transport.stop();
    for (ServerSocket server : servers) {
      server.close();
    }
  }

  /** Records client connections by the ports of their peers, and forwards all events. */
  private final class AcceptedConnections extends BaseFilter {
    private final InboundFilter next;

    AcceptedConnections(InboundFilter next) {
      this.next = next;
    }

    @Override
    public NextAction handleAccept(FilterChainContext context) {
      InetSocketAddress peer = (InetSocketAddress) context.getConnection().getPeerAddress();
      accepted.put(peer.getPort(), (NIOConnection) context.getConnection());
      return next.handleAccept(context);
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
      return next.handleRead(context);
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
      return next.handleClose(context);
    }
  }

  private record Plan(String path) implements RequestPlan {
    @Override
    public String requestId() {
      return "request-1";
    }

    @Override
    public String route() {
      return "route-1";
    }

    @Override
    public long deadlineMillis() {
      return path.equals("/short") ? SHORT_DEADLINE_MILLIS : Long.MAX_VALUE;
    }
  }

  private final class Handler extends StubRequestHandler {

    @Override
    public Either<Refusal, RequestPlan> plan(RequestHead head, long arrivedMillis) {
      String path = head.path();
      selectorBlock.blockIfRequested(path);
      if (REFUSED_FOR.containsKey(path)) {
        return Either.left(Refusal.notRun(REFUSED_FOR.get(path)));
      }
      if (path.equals("/answered")) {
        narrowClient = accepted.get(narrowPort);
        narrow(narrowClient);
      }
      return Either.right(new Plan(path));
    }

    @Override
    public void dispatch(Exchange exchange) {
      String path = ((Plan) exchange.plan()).path();
      if (path.equals("/after")) {
        heldExchange = exchange;
      } else if (path.startsWith("/fault")) {
        if (path.equals("/fault-after-sending")) {
          send(exchange, 1);
        }
        throw new IllegalStateException("injected handler failure");
      } else {
        send(exchange, path.equals("/rest") || exchange.history().count() > 0 ? 1 : 0);
      }
    }

    private void send(Exchange exchange, int origin) {
      exchange.sendTo(pools.get(origin), "backend-" + origin);
    }

    @Override
    public boolean mayRetry(Exchange exchange, Verdict verdict) {
      boolean permitted = retryPermitted;
      retryPermitted = false;
      return permitted;
    }

    /** The end of a request admits the one that was held. */
    @Override
    public void requestEnded(Exchange exchange, Verdict verdict) {
      Exchange next = heldExchange;
      if (next != null && ((Plan) exchange.plan()) != null) {
        heldExchange = null;
        send(next, 1);
      }
    }
  }
}
