package io.umberpath.node.proxy.inbound;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.StubRequestHandler;
import io.umberpath.node.proxy.http.HeaderFields;
import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.node.proxy.http.ResponseHead;
import io.umberpath.node.proxy.origin.AttemptLog;
import io.umberpath.node.proxy.origin.OriginConnection;
import io.umberpath.node.proxy.origin.ResponsePart;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.proxy.stats.ProxyStats;
import io.vavr.control.Either;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.AttributeBuilder;
import org.glassfish.grizzly.attributes.AttributeHolder;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.ProcessingState;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.junit.jupiter.api.Test;

/**
 * Writing to a connection finds it broken, and the transport reports the close before the write
 * returns: the exchange must end exactly once, with the right verdict.
 */
class ExchangeBrokenWriteTest {
  private static final PeerAddress ORIGIN = new PeerAddress("127.0.0.1", 9);
  private static final long DEADLINE_MILLIS = 1_000;
  private static final long LOCK_TIMEOUT_MILLIS = 3_000;
  private static final AttributeBuilder ATTRIBUTES = Grizzly.DEFAULT_ATTRIBUTE_BUILDER;

  private final List<Verdict> verdicts = new ArrayList<>();
  private final List<String> endedAttempts = new ArrayList<>();
  private final ActiveExchanges active = new ActiveExchanges();
  private Runnable onOriginWrite = () -> {};
  private final Connection<?> origin = connection(() -> onOriginWrite.run());
  private ClientConnection client;
  private final Connection<?> clientConnection = connection(() -> client.onClosed());
  private final ConnectionPool pool = new ConnectionPool(ORIGIN, this::connect, 1, () -> 0);
  private Refusal handlerRefusal;

  private final RequestHandler handler =
      new StubRequestHandler() {
        @Override
        public ProxyStats.Side side() {
          return ProxyStats.Side.HOP;
        }

        @Override
        public Either<Refusal, RequestPlan> plan(RequestHead head, long arrivedMillis) {
          return handlerRefusal == null ? Either.right(new Plan()) : Either.left(handlerRefusal);
        }

        @Override
        public void dispatch(Exchange exchange) {
          exchange.sendTo(pool, "backend-1");
        }

        @Override
        public void attemptEnded(Exchange exchange, String originId, Refusal refusal, long micros) {
          endedAttempts.add(originId);
        }

        @Override
        public void requestEnded(Exchange exchange, Verdict verdict) {
          verdicts.add(verdict);
        }
      };

  private record Plan() implements RequestPlan {
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
      return DEADLINE_MILLIS;
    }
  }

  /** A request as the codec decodes it, with an empty response. */
  private static final class ReceivedRequest extends HttpRequestPacket {
    private final ProcessingState state = new ProcessingState();

    ReceivedRequest() {
      setMethod(Method.GET);
      setRequestURI("/");
      setProtocol(Protocol.HTTP_1_1);
      setResponse(HttpResponsePacket.builder(this).build());
      state.setKeepAlive(true);
    }

    @Override
    public ProcessingState getProcessingState() {
      return state;
    }
  }

  @Test
  void endsOnceWhenWritingTheLastPartFailsForTheClient() {
    begin();
    ResponseHead head = new ResponseHead(200, Optional.empty(), HeaderFields.NONE, 0, false);

    OriginConnection.of(origin)
        .listener()
        .onResponsePart(
            new ResponsePart(head, true, Buffers.EMPTY_BUFFER, true, HeaderFields.NONE));

    assertThat(verdicts).containsExactly(new Verdict.MayHaveRun(Verdict.Reason.CANCELLED));
    assertThat(endedAttempts).containsExactly("backend-1");
    assertThat(active.size()).isZero();
  }

  @Test
  void endsOnceWhenWritingAnInterimResponseFailsForTheClient() {
    HttpRequestPacket request = new ReceivedRequest();
    request.setProtocol(Protocol.HTTP_1_1);
    begin(request, true);

    OriginConnection.of(origin)
        .listener()
        .onInterimResponse("HTTP/1.1 100 Continue\r\n\r\n".getBytes());

    assertThat(verdicts).containsExactly(new Verdict.MayHaveRun(Verdict.Reason.CANCELLED));
    assertThat(active.size()).isZero();
  }

  @Test
  void endsOnceWhenWritingARefusalFailsForTheClient() {
    handlerRefusal = Refusal.notRun(Verdict.Reason.NO_ROUTE);

    begin();

    assertThat(verdicts).containsExactly(new Verdict.NotRun(Verdict.Reason.NO_ROUTE));
    assertThat(active.size()).isZero();
  }

  /** The backend resets its connection during an upload; the write of the next part finds out. */
  @Test
  void endsOnceWhenWritingABodyPartFailsForTheBackend() {
    HttpRequestPacket request = new ReceivedRequest();
    request.setContentLength(2);
    Exchange exchange = begin(request, false);
    onOriginWrite =
        () -> OriginConnection.of(origin).listener().onFailure(Verdict.Reason.CONNECTION_LOST);

    boolean keepReading = exchange.onBodyPart(bodyPart(request, false));

    assertThat(keepReading).isTrue();
    assertThat(verdicts).containsExactly(new Verdict.MayHaveRun(Verdict.Reason.CONNECTION_LOST));
    assertThat(endedAttempts).containsExactly("backend-1");
    assertThat(active.size()).isZero();
  }

  /** The timer holds an exchange's lock at its deadline while the client's connection closes. */
  @Test
  void closingConnectionHoldsNoLockWhileItWaitsForAnExchange() throws InterruptedException {
    Exchange exchange = begin(new ReceivedRequest(), true);
    Thread closing = new Thread(() -> client.onClosed());
    Thread writing = new Thread(() -> client.isEnded());
    synchronized (exchange) {
      closing.start();
      awaitBlocked(closing);
      writing.start();
      writing.join(LOCK_TIMEOUT_MILLIS);
      assertThat(writing.isAlive()).as("waits for the connection's lock").isFalse();
    }
    closing.join();
  }

  private static void awaitBlocked(Thread thread) throws InterruptedException {
    while (thread.isAlive() && thread.getState() != Thread.State.BLOCKED) {
      Thread.sleep(1);
    }
  }

  private static HttpContent bodyPart(HttpRequestPacket request, boolean isLast) {
    Buffer content = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, "x");
    return HttpContent.builder(request).content(content).last(isLast).build();
  }

  private void begin() {
    begin(new ReceivedRequest(), true);
  }

  private Exchange begin(HttpRequestPacket request, boolean complete) {
    ExchangeEnvironment environment =
        new ExchangeEnvironment(
            () -> 0,
            ProxyStats.NONE,
            AttemptLog.CUT_OFF_ONLY,
            ConnectionLog.NONE,
            active,
            () -> Long.MAX_VALUE);
    client = new ClientConnection(clientConnection, ProxyStats.Side.EDGE, environment);
    Exchange exchange = new Exchange(client, request, handler, environment);
    exchange.begin(
        HttpContent.builder(request).content(Buffers.EMPTY_BUFFER).last(complete).build());
    return exchange;
  }

  @SuppressWarnings("rawtypes") // Grizzly's own signature
  private void connect(PeerAddress address, CompletionHandler<Connection> opened) {
    opened.completed(origin);
  }

  /** A connection that only runs an action during each write. */
  private static Connection<?> connection(Runnable onWrite) {
    AttributeHolder attributes = ATTRIBUTES.createSafeAttributeHolder();
    return (Connection<?>)
        Proxy.newProxyInstance(
            Connection.class.getClassLoader(),
            new Class<?>[] {Connection.class},
            (self, method, arguments) -> {
              switch (method.getName()) {
                case "write" -> onWrite.run();
                case "getAttributes" -> {
                  return attributes;
                }
                default -> {
                  // Other methods have no effect.
                }
              }
              return method.getReturnType() == boolean.class ? Boolean.TRUE : null;
            });
  }
}
