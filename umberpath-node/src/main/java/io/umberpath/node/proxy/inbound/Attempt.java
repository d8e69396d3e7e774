package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.origin.OriginConnection;
import io.umberpath.node.proxy.origin.RequestAttempt;
import io.umberpath.node.proxy.origin.ResponseBuffer;
import io.umberpath.node.proxy.origin.ResponseListener;
import io.umberpath.node.proxy.origin.ResponsePart;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.proxy.pool.ConnectionWaiter;
import java.util.Optional;
import org.glassfish.grizzly.Buffer;

/**
 * One attempt to have an exchange's request served by an origin. Reports its events to the
 * exchange, which ignores them once the attempt is over. Guarded by the exchange's lock.
 */
final class Attempt implements ConnectionWaiter, ResponseListener {
  private static final long NANOS_PER_MICRO = 1_000;

  /** Most bytes of interim responses, as many as a response head may have. */
  private static final int MAX_INTERIM_BYTES = 64 * 1024;

  private final Exchange exchange;
  private final PipelinedResponse pipelined;
  private final ConnectionPool pool;
  private final String originId;
  private final int number;
  private final long startNanos = System.nanoTime();
  private final ResponseBuffer responseBuffer = new ResponseBuffer();
  private OriginConnection origin;

  /**
   * The connection on which only the head was sent with {@code Expect: 100-continue}; null
   * otherwise.
   */
  private OriginConnection awaitingContinue;

  private OutgoingRequest outgoing;
  private int interimBytes;

  Attempt(
      Exchange exchange,
      PipelinedResponse pipelined,
      ConnectionPool pool,
      String originId,
      int number) {
    this.exchange = exchange;
    this.pipelined = pipelined;
    this.pool = pool;
    this.originId = originId;
    this.number = number;
  }

  /** Acquires a connection from the pool. */
  void begin() {
    pool.acquire(this);
  }

  @Override
  public void onConnected(OriginConnection connection) {
    connection.runOrDefer(() -> RequestGuard.guard(exchange, () -> sendOn(connection)));
  }

  private boolean sendOn(OriginConnection connection) {
    if (connection.isIdle()) {
      sendOnOpen(connection);
    } else if (connection.hasBeenIdle()) {
      begin();
    } else {
      onUnavailable(Verdict.Reason.UNREACHABLE);
    }
    return true;
  }

  private void sendOnOpen(OriginConnection connection) {
    try {
      if (!exchange.attemptConnected(this, connection)) {
        pool.release(connection);
      }
    } catch (RuntimeException fault) {
      connection.abandon();
      throw fault;
    }
  }

  @Override
  public void onUnavailable(Verdict.Reason reason) {
    exchange.attemptFailed(this, Refusal.notRun(reason));
  }

  @Override
  public void onFailure(Verdict.Reason reason) {
    boolean hasSentOnlyHead;
    synchronized (exchange) {
      hasSentOnlyHead = awaitingContinue != null;
    }
    exchange.attemptFailed(
        this,
        hasSentOnlyHead ? Refusal.notRun(Verdict.Reason.UNREACHABLE) : Refusal.mayHaveRun(reason));
  }

  @Override
  public void onInterimResponse(byte[] head) {
    exchange.attemptReceivedInterimResponse(this, head);
  }

  @Override
  public boolean onResponsePart(ResponsePart part) {
    return exchange.attemptReceivedPart(this, part);
  }

  @Override
  public void whenReadyForMore(Runnable resume) {
    pipelined.runWhenWritable(resume);
  }

  /** Counts an interim response; returns whether there may be as many. */
  boolean countInterimResponse(byte[] head) {
    interimBytes += head.length;
    return interimBytes <= MAX_INTERIM_BYTES;
  }

  /** Creates the outgoing request; the handler still adds its own headers. */
  OutgoingRequest prepare() {
    outgoing = OutgoingRequest.of(exchange.request(), exchange.plan(), pool.address());
    return outgoing;
  }

  /** Whether the head is sent first and the body only after the origin's 100 (Continue). */
  boolean needsContinue(RequestBody body) {
    return exchange.plan().awaitsContinueBeforeBody() && body.needsContinue();
  }

  /**
   * Sends the prepared head, with the body received so far unless the origin must ask for it first.
   */
  void send(OriginConnection connection, RequestBody body) {
    connection.beginAttempt(this);
    if (needsContinue(body)) {
      awaitingContinue = connection;
      connection.write(outgoing.withExpectContinue(), false);
    } else {
      sendFirst(connection, body);
    }
  }

  private void sendFirst(OriginConnection connection, RequestBody body) {
    origin = connection;
    connection.write(
        outgoing.firstPart(body.buffered(), body.isComplete(), body.trailers()), body.isComplete());
  }

  /** Sends the body after the origin's 100 (Continue). */
  void sendBody(RequestBody body) {
    OriginConnection connection = awaitingContinue;
    awaitingContinue = null;
    sendFirst(connection, body);
  }

  /** Sends more of the body. */
  void sendMore(Buffer content, RequestBody body, boolean last) {
    origin.write(outgoing.nextPart(content, last, body.trailers()), last);
  }

  /** The connection to which the body is sent; null before there is one. */
  OriginConnection origin() {
    return origin;
  }

  /** Takes a part of the response and returns what can be forwarded of the response now. */
  Optional<ResponsePart> partToForward(ResponsePart part) {
    Optional<ResponsePart> ready = responseBuffer.add(part, pipelined::tryStartStreaming);
    pipelined.setBufferedBytes(responseBuffer.size());
    return ready;
  }

  /** Returns the buffered parts of the response if they may be forwarded now. */
  Optional<ResponsePart> bufferedPartToForward() {
    Optional<ResponsePart> ready = responseBuffer.takeBuffered(pipelined::tryStartStreaming);
    pipelined.setBufferedBytes(responseBuffer.size());
    return ready;
  }

  /**
   * Whether the response can be neither buffered further nor streamed, because requests behind it
   * have been started.
   */
  boolean isResponseTooLong() {
    return pipelined.isCurrent() && responseBuffer.size() >= ResponseBuffer.MAX_BYTES;
  }

  /** Whether to read more of a response of which nothing can be forwarded yet. */
  boolean mayBufferMore() {
    return pipelined.isCurrent() || pipelined.canWrite();
  }

  /** Called when the response is complete: the attempt no longer owns the connection. */
  void detach() {
    origin = null;
    awaitingContinue = null;
    exchange.history().recordResponseComplete();
  }

  /** Closes the connection if the attempt still owns it, and drops what is buffered. */
  void abandon() {
    pipelined.setBufferedBytes(0);
    if (origin != null) {
      origin.abandon();
    } else if (awaitingContinue != null) {
      awaitingContinue.abandon();
    }
  }

  String originId() {
    return originId;
  }

  long elapsedMicros() {
    return (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
  }

  /** The log record of this attempt after it failed. */
  RequestAttempt record(Verdict verdict, long requestBytes) {
    RequestPlan plan = exchange.plan();
    return new RequestAttempt(
        plan.requestId(), number, plan.route(), originId, verdict, requestBytes, elapsedMicros());
  }
}
