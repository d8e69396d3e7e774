package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.ProxyHeaders;
import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.node.proxy.inbound.ActiveExchanges;
import io.umberpath.node.proxy.inbound.ConnectionDrain;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.node.proxy.inbound.ExchangeEnvironment;
import io.umberpath.node.proxy.inbound.Headers;
import io.umberpath.node.proxy.inbound.InboundFilter;
import io.umberpath.node.proxy.inbound.Refusal;
import io.umberpath.node.proxy.inbound.RequestPlan;
import io.umberpath.node.proxy.inbound.UnansweredRequests;
import io.umberpath.node.proxy.loop.EventLoop;
import io.umberpath.node.proxy.origin.AttemptLog;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.proxy.stats.ProxyStats;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * A listener on one selector thread that can be blocked. Requests that it does not refuse are sent
 * to an origin that the test simulates.
 */
final class InboundFixture implements AutoCloseable {
  /** A request that is answered with 404. */
  static final String REFUSED = "GET /refused HTTP/1.1\r\nHost: a\r\n\r\n";

  /** A request whose dispatch throws an error. */
  static final String FAULTY = "GET /faulty HTTP/1.1\r\nHost: a\r\n\r\n";

  private static final String FAULTY_PATH = "/faulty";
  private static final long TIMEOUT_MILLIS = 10_000;
  private static final long NO_DEADLINE_MILLIS = 3_600_000;
  private static final String HELD_PATH = "/held-back";
  private static final Set<String> REFUSED_PATHS = Set.of("/refused", "/block");
  private static final int MAX_ORIGIN_CONNECTIONS = 8;

  private final ProxyTransport transport =
      new ProxyTransport(ProxyFixture.MAX_HEADER_BYTES, ConnectionPool::returnToPool, 1);
  private final ActiveExchanges active = new ActiveExchanges();
  private final BlockingQueue<UnansweredRequests> unanswered = new LinkedBlockingQueue<>();
  private final AtomicLong clockMillis = new AtomicLong();
  private final InboundFilter filter;
  private final Listener listener;
  private final int port;
  private final SelectorBlock selectorBlock = new SelectorBlock();
  private final ServerSocket origin = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
  private final ConnectionPool pool;
  private final Set<Long> iterations = ConcurrentHashMap.newKeySet();
  private final BlockingQueue<Long> serviceMicros = new LinkedBlockingQueue<>();
  private final BlockingQueue<Exchange> heldExchanges = new LinkedBlockingQueue<>();
  private volatile boolean isDraining;

  InboundFixture() throws IOException {
    ExchangeEnvironment environment =
        new ExchangeEnvironment(
            clockMillis::get,
            ProxyStats.NONE,
            AttemptLog.CUT_OFF_ONLY,
            unanswered::add,
            active,
            () -> Long.MAX_VALUE);
    filter = new InboundFilter(new Handler(), environment);
    origin.setSoTimeout((int) TIMEOUT_MILLIS);
    PeerAddress address = new PeerAddress("127.0.0.1", origin.getLocalPort());
    pool = new ConnectionPool(address, transport, MAX_ORIGIN_CONNECTIONS, clockMillis::get);
    transport.start();
    listener = transport.listen("127.0.0.1", 0, filter);
    port = listener.port();
  }

  InboundFilter filter() {
    return filter;
  }

  Listener listener() {
    return listener;
  }

  /**
   * Shuts down all connections; returns when they are closed, or at a time on the fixture's clock.
   */
  void drain(long endMillis) throws InterruptedException {
    new ConnectionDrain(List.of(filter), clockMillis::get).run(endMillis);
  }

  RawConnection connect() throws IOException {
    return new RawConnection(port);
  }

  /** From now on each response closes its connection if no request is behind it. */
  void startDraining() {
    isDraining = true;
  }

  /** Returns once a connection has been accepted. */
  void awaitAccepted() throws InterruptedException {
    while (filter.accepted() == 0) {
      Thread.sleep(1);
    }
  }

  /** A request that is sent to the origin. */
  static String get(String path) {
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
  }

  /** A request that is sent to the origin, with a deadline. */
  static String get(String path, long deadlineMillis) {
    String deadline = ProxyHeaders.DEADLINE_MILLIS + ": " + deadlineMillis;
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + deadline + "\r\n\r\n";
  }

  /** The origin's end of an idle connection that has served a request. */
  RawConnection idleOriginConnection() throws IOException {
    try (RawConnection client = connect()) {
      client.send(get("/rest"));
      RawConnection accepted = acceptOrigin();
      accepted.readHead();
      accepted.send("HTTP/1.1 204 No Content\r\n\r\n");
      assertThat(client.read().status()).isEqualTo(204);
      return accepted;
    }
  }

  /** The origin's end of a newly opened connection. */
  RawConnection acceptOrigin() throws IOException {
    RawConnection accepted = new RawConnection(origin.accept());
    accepted.socket.setSoTimeout((int) TIMEOUT_MILLIS);
    return accepted;
  }

  /** Sends a request that is held until another one has ended. */
  void sendHeldRequest(RawConnection client) throws IOException, InterruptedException {
    client.send(get(HELD_PATH));
    while (heldExchanges.isEmpty()) {
      Thread.sleep(1);
    }
  }

  /** The service time that the next completed request reports. */
  long awaitServiceMicros() throws InterruptedException {
    return serviceMicros.take();
  }

  /** Number of event loop iterations in which requests were planned. */
  int iterations() {
    return iterations.size();
  }

  /** Sends a request and reads its response; returns once the exchange has ended. */
  void exchange(RawConnection client) throws IOException, InterruptedException {
    client.send(REFUSED);
    assertThat(client.read().status()).isEqualTo(404);
    assertThat(active.awaitNone(TIMEOUT_MILLIS)).isTrue();
  }

  /** The next connection that ends with unanswered requests; null after a timeout. */
  UnansweredRequests awaitUnanswered() throws InterruptedException {
    return unanswered.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  void advance(long millis) {
    clockMillis.addAndGet(millis);
  }

  /** Runs a check now, or once the selector thread has read the pending input. */
  void checkTimeouts(Runnable check) {
    transport.checkTimeouts(check, false);
  }

  /** The deadline check of a node's timer, run on the calling thread. */
  void expireRequests() {
    transport.checkTimeouts(() -> active.expire(clockMillis.get()), false);
  }

  /** The same for connection attempts that have timed out. */
  void expireConnectionAttempts() {
    transport.checkTimeouts(pool::failOverdueConnects, false);
  }

  /** Returns once the selector thread is blocked. */
  void blockSelector() throws IOException, InterruptedException {
    selectorBlock.block(connect());
  }

  /** The same, in the iteration in which it has read a request of the client. */
  void blockSelectorBehind(RawConnection client, String request)
      throws IOException, InterruptedException {
    selectorBlock.blockBehind(client, request);
  }

  /** Returns once the blocked thread is late. */
  void awaitLateness() throws InterruptedException {
    selectorBlock.awaitLateness();
  }

  void unblockSelector() {
    selectorBlock.release();
  }

  /** Unblocks the selector thread once it is late by {@link SelectorBlock#LATE_MILLIS}. */
  void unblockSelectorLate() throws InterruptedException {
    selectorBlock.releaseLate();
  }

  @Override
  public void close() throws IOException {
    selectorBlock.close();
    transport.stop();
    origin.close();
  }

  private record Plan(String path, long deadlineMillis) implements RequestPlan {
    @Override
    public String requestId() {
      return "request";
    }

    @Override
    public String route() {
      return "route";
    }
  }

  private final class Handler extends StubRequestHandler {

    @Override
    public Either<Refusal, RequestPlan> plan(RequestHead head, long arrivedMillis) {
      iterations.add(EventLoop.earliestArrivalNanos());
      selectorBlock.blockIfRequested(head.path());
      if (!REFUSED_PATHS.contains(head.path())) {
        long deadline = Headers.deadlineMillis(head).get().orElse(NO_DEADLINE_MILLIS);
        return Either.right(new Plan(head.path(), arrivedMillis + deadline));
      }
      return Either.left(Refusal.notRun(Verdict.Reason.NO_ROUTE));
    }

    @Override
    public boolean isDraining() {
      return isDraining;
    }

    @Override
    public void dispatch(Exchange exchange) {
      String path = ((Plan) exchange.plan()).path();
      if (path.equals(FAULTY_PATH)) {
        throw new AssertionError("injected handler failure");
      } else if (path.equals(HELD_PATH)) {
        heldExchanges.add(exchange);
      } else {
        exchange.sendTo(pool, "backend");
      }
    }

    @Override
    public void addHeaders(Exchange exchange, HttpRequestPacket outgoing, long nowMillis) {
      long remainingMillis = exchange.plan().deadlineMillis() - nowMillis;
      outgoing
          .getHeaders()
          .addValue(ProxyHeaders.DEADLINE_MILLIS)
          .setString(Long.toString(remainingMillis));
    }

    /** The end of a request admits the one that was held. */
    @Override
    public void requestEnded(Exchange exchange, Verdict verdict) {
      if (verdict instanceof Verdict.Completed) {
        serviceMicros.add(exchange.history().sinceSentMicros());
      }
      Exchange next = heldExchanges.poll();
      if (next != null && next != exchange) {
        next.sendTo(pool, "backend");
      }
    }
  }
}
