package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.origin.AnswerListener;
import io.umberpath.node.proxy.origin.AnswerPart;
import io.umberpath.node.proxy.origin.OriginConnection;
import io.umberpath.node.proxy.origin.RequestAttempt;
import io.umberpath.node.proxy.origin.ShortAnswer;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.proxy.pool.ConnectionWaiter;
import java.util.Optional;
import org.glassfish.grizzly.Buffer;

/**
 * One attempt of an exchange: passes what it hears on to the exchange, which ignores it once the
 * attempt is over. The exchange's lock guards its state.
 */
final class Attempt implements ConnectionWaiter, AnswerListener {
  private static final long NANOS_PER_MICRO = 1_000;

  private final Exchange exchange;
  private final PipelinedResponse pipelined;
  private final ConnectionPool pool;
  private final String originId;
  private final int number;
  private final long startNanos = System.nanoTime();
  private final ShortAnswer shortAnswer = new ShortAnswer();
  private OriginConnection origin;

  /** The connection on which the head was sent alone; null before, and once the body follows. */
  private OriginConnection awaitingContinue;

  private OutgoingRequest outgoing;

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

  /** Asks for a connection. */
  void begin() {
    pool.acquire(this);
  }

  @Override
  public void connected(OriginConnection connection) {
    connection.runOrDefer(() -> RequestGuard.guard(exchange, () -> sendOn(connection)));
  }

  private boolean sendOn(OriginConnection connection) {
    if (connection.isIdle()) {
      sendOnOpen(connection);
    } else if (connection.hasRested()) {
      begin();
    } else {
      notConnected(Verdict.Reason.UNREACHABLE);
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
  public void notConnected(Verdict.Reason reason) {
    exchange.attemptFailed(this, Refusal.notRun(reason));
  }

  @Override
  public void onBroken(Verdict.Reason reason) {
    boolean hasSentOnlyHead;
    synchronized (exchange) {
      hasSentOnlyHead = awaitingContinue != null;
    }
    exchange.attemptFailed(
        this,
        hasSentOnlyHead ? Refusal.notRun(Verdict.Reason.UNREACHABLE) : Refusal.mayHaveRun(reason));
  }

  @Override
  public void onInterim(byte[] head) {
    exchange.attemptReceivedInterim(this, head);
  }

  @Override
  public boolean onAnswerPart(AnswerPart part) {
    return exchange.attemptReceivedPart(this, part);
  }

  @Override
  public void whenReadyForMore(Runnable resume) {
    pipelined.runWhenWritable(resume);
  }

  /** The request as it is sent, its headers still to be completed. */
  OutgoingRequest prepare() {
    outgoing = OutgoingRequest.of(exchange.request(), exchange.plan(), pool.address());
    return outgoing;
  }

  /** Whether the head is to be sent alone, for the origin to ask for the body. */
  boolean needsContinue(RequestBody body) {
    return exchange.plan().asksBeforeBody() && body.needsContinue();
  }

  /** Sends the prepared head, and what there is of the body unless the origin is to ask for it. */
  void send(OriginConnection connection, RequestBody body) {
    connection.begin(this);
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

  /** Sends the body that the origin has asked for. */
  void sendBody(RequestBody body) {
    OriginConnection connection = awaitingContinue;
    awaitingContinue = null;
    sendFirst(connection, body);
  }

  /** Sends more of the body. */
  void sendMore(Buffer content, RequestBody body, boolean last) {
    origin.write(outgoing.nextPart(content, last, body.trailers()), last);
  }

  /** The connection in use, or null before there is one. */
  OriginConnection origin() {
    return origin;
  }

  /** What of the answer is to be passed on, now that a piece of it has come. */
  Optional<AnswerPart> partToForward(AnswerPart part) {
    return shortAnswer.take(part);
  }

  /** The answer is whole; the connection goes its own way. */
  void detach() {
    origin = null;
    awaitingContinue = null;
    exchange.history().responseComplete();
  }

  /** Closes the connection if it is still in use. */
  void abandon() {
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

  /** Its record after it failed. */
  RequestAttempt record(Verdict verdict, long requestBytes) {
    RequestPlan plan = exchange.plan();
    return new RequestAttempt(
        plan.requestId(), number, plan.route(), originId, verdict, requestBytes, elapsedMicros());
  }
}
