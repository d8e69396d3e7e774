package io.umberpath.node.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.node.proxy.inbound.ActiveExchanges;
import io.umberpath.node.proxy.inbound.ConnectionDrain;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.node.proxy.inbound.ExchangeEnvironment;
import io.umberpath.node.proxy.inbound.InboundFilter;
import io.umberpath.node.proxy.inbound.Refusal;
import io.umberpath.node.proxy.inbound.RequestPlan;
import io.umberpath.node.proxy.inbound.UnansweredRequests;
import io.umberpath.node.proxy.origin.AttemptLog;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.proxy.stats.ProxyStats;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A listener on one selector thread that refuses all requests, and can be kept from reading. */
final class InboundFixture implements AutoCloseable {
  /** A request that is answered 404. */
  static final String REFUSED = "GET /refused HTTP/1.1\r\nHost: a\r\n\r\n";

  /** A request whose handling fails once it has been begun. */
  static final String FAULTY = "GET /faulty HTTP/1.1\r\nHost: a\r\n\r\n";

  private static final String FAULT = "/faulty";
  private static final long TIMEOUT_MILLIS = 10_000;
  private static final String BLOCK = "/block";

  private final ProxyTransport transport =
      new ProxyTransport(ProxyFixture.MAX_HEADER_BYTES, ConnectionPool::giveBack, 1);
  private final ActiveExchanges active = new ActiveExchanges();
  private final BlockingQueue<UnansweredRequests> ended = new LinkedBlockingQueue<>();
  private final AtomicLong clockMillis = new AtomicLong();
  private final InboundFilter filter;
  private final Listener listener;
  private final int port;
  private RawConnection blocking;
  private final CountDownLatch blocked = new CountDownLatch(1);
  private final CountDownLatch readsOn = new CountDownLatch(1);

  InboundFixture() throws IOException {
    ExchangeEnvironment environment =
        new ExchangeEnvironment(
            clockMillis::get,
            ProxyStats.NONE,
            AttemptLog.CUT_OFF_ONLY,
            ended::add,
            active,
            () -> Long.MAX_VALUE);
    filter = new InboundFilter(new Handler(), environment);
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

  /** Sends a request and reads its answer; returns once the node knows that it is answered. */
  void exchange(RawConnection caller) throws IOException, InterruptedException {
    caller.send(REFUSED);
    assertThat(caller.read().status()).isEqualTo(404);
    assertThat(active.awaitNone(TIMEOUT_MILLIS)).isTrue();
  }

  /** The next connection that ends with requests unanswered; null if none does in time. */
  UnansweredRequests awaitEnded() throws InterruptedException {
    return ended.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  void advance(long millis) {
    clockMillis.addAndGet(millis);
  }

  /** Returns once the thread that reads stands still. */
  void blockReading() throws IOException, InterruptedException {
    blocking = connect();
    blocking.send("GET " + BLOCK + " HTTP/1.1\r\nHost: a\r\n\r\n");
    blocked.await();
  }

  void readOn() {
    readsOn.countDown();
  }

  @Override
  public void close() throws IOException {
    readOn();
    if (blocking != null) {
      blocking.close();
    }
    transport.stop();
  }

  private record FaultyPlan() implements RequestPlan {
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
      return Long.MAX_VALUE;
    }
  }

  private final class Handler extends StubRequestHandler {

    @Override
    public Either<Refusal, RequestPlan> plan(RequestHead head, long nowMillis) {
      if (head.path().equals(BLOCK)) {
        blocked.countDown();
        awaitReadsOn();
      }
      if (head.path().equals(FAULT)) {
        return Either.right(new FaultyPlan());
      }
      return Either.left(Refusal.notRun(Verdict.Reason.NO_ROUTE));
    }

    private void awaitReadsOn() {
      try {
        readsOn.await();
      } catch (InterruptedException ended) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public void dispatch(Exchange exchange) {
      throw new AssertionError("nothing is sent on");
    }
  }
}
