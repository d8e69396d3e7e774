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
  private final AnswerTurn turn;
  private final ConnectionPool pool;
  private final String originId;
  private final int number;
  private final long startNanos = System.nanoTime();
  private final ShortAnswer shortAnswer = new ShortAnswer();
  private OriginConnection origin;

  /** The connection on which the head was sent alone; null before, and once the body follows. */
  private OriginConnection asked;

  private OutgoingRequest outgoing;

  Attempt(Exchange exchange, AnswerTurn turn, ConnectionPool pool, String originId, int number) {
    this.exchange = exchange;
    this.turn = turn;
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
    connection.runOrDefer(() -> RequestFaults.guard(exchange, () -> sendOn(connection)));
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
    boolean hasOnlyAsked;
    synchronized (exchange) {
      hasOnlyAsked = asked != null;
    }
    exchange.attemptFailed(
        this,
        hasOnlyAsked ? Refusal.notRun(Verdict.Reason.UNREACHABLE) : Refusal.mayHaveRun(reason));
  }

  @Override
  public void onInterim(byte[] head) {
    exchange.attemptInterim(this, head);
  }

  @Override
  public boolean onAnswerPart(AnswerPart part) {
    return exchange.attemptAnswered(this, part);
  }

  @Override
  public void whenReadyForMore(Runnable resume) {
    turn.whenTakesMore(resume);
  }

  /** The request as it is sent, its headers still to be completed. */
  OutgoingRequest prepare() {
    outgoing = OutgoingRequest.of(exchange.request(), exchange.plan(), pool.address());
    return outgoing;
  }

  /** Whether the head is to be sent alone, for the origin to ask for the body. */
  boolean asksBefore(RequestBody body) {
    return exchange.plan().asksBeforeBody() && body.isLongOrIncomplete();
  }

  /** Sends the prepared head, and what there is of the body unless the origin is to ask for it. */
  void send(OriginConnection connection, RequestBody body) {
    connection.begin(this);
    if (asksBefore(body)) {
      asked = connection;
      connection.write(outgoing.asking(), false);
    } else {
      sendFirst(connection, body);
    }
  }

  private void sendFirst(OriginConnection connection, RequestBody body) {
    origin = connection;
    connection.write(
        outgoing.first(body.kept(), body.isComplete(), body.trailers()), body.isComplete());
  }

  /** Sends the body that the origin has asked for. */
  void sendBody(RequestBody body) {
    OriginConnection connection = asked;
    asked = null;
    sendFirst(connection, body);
  }

  /** Sends more of the body. */
  void sendMore(Buffer content, RequestBody body, boolean last) {
    origin.write(outgoing.next(content, last, body.trailers()), last);
  }

  /** The connection in use, or null before there is one. */
  OriginConnection origin() {
    return origin;
  }

  /** What of the answer is to be passed on, now that a piece of it has come. */
  Optional<AnswerPart> passesOn(AnswerPart part) {
    return shortAnswer.take(part);
  }

  /** The answer is whole; the connection goes its own way. */
  void detach() {
    origin = null;
    asked = null;
    exchange.history().answered();
  }

  /** Closes the connection if it is still in use. */
  void abandon() {
    if (origin != null) {
      origin.abandon();
    } else if (asked != null) {
      asked.abandon();
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
