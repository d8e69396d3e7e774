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
 * A listener on one selector thread that can be kept from reading. Requests that it does not refuse
 * go to an origin that the test plays.
 */
final class InboundFixture implements AutoCloseable {
  /** A request that is answered 404. */
  static final String REFUSED = "GET /refused HTTP/1.1\r\nHost: a\r\n\r\n";

  /** A request whose handling fails once it has been begun. */
  static final String FAULTY = "GET /faulty HTTP/1.1\r\nHost: a\r\n\r\n";

  private static final String FAULTY_PATH = "/faulty";
  private static final long TIMEOUT_MILLIS = 10_000;
  private static final long NO_DEADLINE_MILLIS = 3_600_000;
  private static final String HELD_PATH = "/held-back";
  private static final Set<String> REFUSED_PATHS = Set.of("/refused", "/block");
  private static final int MAX_ORIGIN_CONNECTIONS = 8;

  private final ProxyTransport transport =
      new ProxyTransport(ProxyFixture.MAX_HEADER_BYTES, ConnectionPool::giveBack, 1);
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

  /** Ends all connections; returns when that is done, or at a moment of the fixture's clock. */
  void drain(long endMillis) throws InterruptedException {
    new ConnectionDrain(List.of(filter), clockMillis::get).run(endMillis);
  }

  RawConnection connect() throws IOException {
    return new RawConnection(port);
  }

  /** From now on each answer is the last of its connection, if nothing is behind it. */
  void startDraining() {
    isDraining = true;
  }

  /** Returns once a connection has been accepted. */
  void awaitAccepted() throws InterruptedException {
    while (filter.accepted() == 0) {
      Thread.sleep(1);
    }
  }

  /** A request that is sent on to the origin. */
  static String get(String path) {
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
  }

  /** A request that is sent on to the origin, and is of use for so long. */
  static String get(String path, long deadlineMillis) {
    String deadline = ProxyHeaders.DEADLINE + ": " + deadlineMillis;
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + deadline + "\r\n\r\n";
  }

  /** The origin's end of a connection that has served a request and rests. */
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

  /** The other end of a connection that was opened to the origin. */
  RawConnection acceptOrigin() throws IOException {
    RawConnection accepted = new RawConnection(origin.accept());
    accepted.socket.setSoTimeout((int) TIMEOUT_MILLIS);
    return accepted;
  }

  /** Sends a request that waits until another one has ended. */
  void sendHeldRequest(RawConnection client) throws IOException, InterruptedException {
    client.send(get(HELD_PATH));
    while (heldExchanges.isEmpty()) {
      Thread.sleep(1);
    }
  }

  /** What the next request that is answered by the origin says of the time it took there. */
  long awaitServiceMicros() throws InterruptedException {
    return serviceMicros.take();
  }

  /** Iterations of the event loop in which requests were decided on. */
  int iterations() {
    return iterations.size();
  }

  /** Sends a request and reads its answer; returns once the node knows that it is answered. */
  void exchange(RawConnection client) throws IOException, InterruptedException {
    client.send(REFUSED);
    assertThat(client.read().status()).isEqualTo(404);
    assertThat(active.awaitNone(TIMEOUT_MILLIS)).isTrue();
  }

  /** The next connection that ends with requests unanswered; null if none does in time. */
  UnansweredRequests awaitUnanswered() throws InterruptedException {
    return unanswered.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  void advance(long millis) {
    clockMillis.addAndGet(millis);
  }

  /** Checks now, or once the thread that reads has read what has arrived. */
  void checkTimeouts(Runnable check) {
    transport.checkTimeouts(check, false);
  }

  /** What the timer of a node does, here on the calling thread. */
  void expireRequests() {
    transport.checkTimeouts(() -> active.expire(clockMillis.get()), false);
  }

  /** The same for connections that do not open. */
  void expireConnectionAttempts() {
    transport.checkTimeouts(pool::giveUpLate, false);
  }

  /** Returns once the thread that reads stands still. */
  void blockSelector() throws IOException, InterruptedException {
    selectorBlock.block(connect());
  }

  /** The same, in the turn in which it has read a request of the caller. */
  void blockSelectorBehind(RawConnection client, String request)
      throws IOException, InterruptedException {
    selectorBlock.blockBehind(client, request);
  }

  /** Returns once the thread that stands still is late. */
  void awaitLateness() throws InterruptedException {
    selectorBlock.awaitLateness();
  }

  void unblockSelector() {
    selectorBlock.release();
  }

  /** Reads on once the thread is late by {@link SelectorBlock#LATE_MILLIS}. */
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
    public Either<Refusal, RequestPlan> plan(RequestHead head, long nowMillis) {
      iterations.add(EventLoop.earliestArrivalNanos());
      selectorBlock.blockIfRequested(head.path());
      if (!REFUSED_PATHS.contains(head.path())) {
        long deadline = Headers.deadlineMillis(head).get().orElse(NO_DEADLINE_MILLIS);
        return Either.right(new Plan(head.path(), nowMillis + deadline));
      }
      return Either.left(Refusal.notRun(Verdict.Reason.NO_ROUTE));
    }

    @Override
    public boolean isLeaving() {
      return isDraining;
    }

    @Override
    public void dispatch(Exchange exchange) {
      String path = ((Plan) exchange.plan()).path();
      if (path.equals(FAULTY_PATH)) {
        throw new AssertionError("the handling of this request fails");
      } else if (path.equals(HELD_PATH)) {
        heldExchanges.add(exchange);
      } else {
        exchange.sendTo(pool, "backend");
      }
    }

    @Override
    public void addHeaders(Exchange exchange, HttpRequestPacket outgoing, long nowMillis) {
      long left = exchange.plan().deadlineMillis() - nowMillis;
      outgoing.getHeaders().addValue(ProxyHeaders.DEADLINE).setString(Long.toString(left));
    }

    /** The end of a request lets in the one that was held back. */
    @Override
    public void ended(Exchange exchange, Verdict verdict) {
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
