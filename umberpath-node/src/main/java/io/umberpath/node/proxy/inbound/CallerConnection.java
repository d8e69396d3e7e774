package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.http.PendingAnswers;
import io.umberpath.node.proxy.origin.OriginConnection;
import io.umberpath.node.proxy.stats.ProxyStats;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.attributes.AttributeBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * One connection of a caller or another node. Requests that arrive before earlier ones are answered
 * run side by side where that is safe; answers go out in the order of the requests. Thread-safe; an
 * exchange's lock may be held when its own is taken, never the other way round.
 */
final class CallerConnection implements PendingAnswers {
  /** Requests read before the first of them is answered. */
  private static final int MAX_PIPELINED = 16;

  /** Bytes of answers held for their turn, beyond which nothing more is read. */
  private static final long MAX_HELD_BYTES = 128 * 1024;

  private static final Attribute<CallerConnection> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.callerConnection");

  private final Connection<?> connection;
  private final ProxyStats.Side side;
  private final ConnectionLog log;
  private final LongSupplier clockMillis;
  private final Deque<AnswerTurn> turns = new ArrayDeque<>();
  private final List<Exchange> goneLater = new ArrayList<>();
  private long heldBytes;
  private boolean advancing;
  private boolean closing;
  private boolean ending;
  private boolean closed;
  private Object lastAnswer;
  private ConnectionEnd endedBy = ConnectionEnd.PEER;

  /** The request whose answer is complete but whose body is not; the rest is read and dropped. */
  private HttpHeader discarding;

  private FilterChainContext suspendedBody;
  private FilterChainContext suspendedHead;
  private volatile long restsSinceMillis;

  CallerConnection(
      Connection<?> connection, ProxyStats.Side side, ExchangeEnvironment environment) {
    this.connection = connection;
    this.side = side;
    this.log = environment.connectionLog();
    this.clockMillis = environment.clockMillis();
    this.restsSinceMillis = clockMillis.getAsLong();
    ATTRIBUTE.set(connection, this);
    PendingAnswers.attach(connection, this);
  }

  static CallerConnection of(Connection<?> connection) {
    return ATTRIBUTE.get(connection);
  }

  Connection<?> connection() {
    return connection;
  }

  /** The exchange this content belongs to; null if it begins one or is to be dropped. */
  synchronized Exchange exchangeOf(HttpContent content) {
    AnswerTurn last = turns.peekLast();
    boolean belongs = last != null && last.request() == content.getHttpHeader();
    return belongs ? last.exchange() : null;
  }

  synchronized boolean isDiscarding(HttpContent content) {
    return discarding != null && discarding == content.getHttpHeader();
  }

  /**
   * Lets a request whose head has just arrived wait while too much is under way; it is then seen
   * again.
   *
   * @return the action that waits, or null if the request may begin now
   */
  synchronized NextAction awaitRoom(FilterChainContext context) {
    boolean hasRoom = turns.size() < MAX_PIPELINED && heldBytes < MAX_HELD_BYTES;
    if (hasRoom && discarding == null && !closing && !closed) {
      return null;
    }
    NextAction action = context.getSuspendAction();
    context.suspend();
    suspendedHead = context;
    return action;
  }

  /** A request has been read: its answer comes after those of the requests before it. */
  synchronized AnswerTurn begin(Exchange exchange, HttpHeader request) {
    AnswerTurn turn = new AnswerTurn(this, request, exchange);
    if (turns.isEmpty()) {
      turn.makeCurrent();
    }
    if (!closed) {
      turns.add(turn);
    }
    return turn;
  }

  /**
   * Whether a request may start beside those before it. If not, it starts when its turn comes.
   *
   * @param runsBesideOthers whether it may run at the same time as others, and again
   */
  synchronized boolean mayStart(AnswerTurn turn, boolean runsBesideOthers) {
    turn.runsBesideOthers(runsBesideOthers);
    boolean first = turn == turns.peekFirst();
    if (first || AnswerTurn.allAllowOthersBeside(turns)) {
      return true;
    }
    turn.waitToStart();
    return false;
  }

  /** Stops reading until {@link #resume} is called with the same context. */
  NextAction suspend(FilterChainContext context) {
    NextAction action = context.getSuspendAction();
    context.suspend();
    synchronized (this) {
      suspendedBody = context;
    }
    return action;
  }

  /** Reads on after {@link #suspend}; nothing if that context goes on already. */
  void resume(FilterChainContext context) {
    synchronized (this) {
      if (suspendedBody != context) {
        return;
      }
      suspendedBody = null;
    }
    context.resume(context.getStopAction());
  }

  /** The request has been read whole. */
  void bodyComplete(AnswerTurn turn) {
    boolean dropped;
    synchronized (this) {
      turn.completeBody();
      dropped = discarding == turn.request();
    }
    if (dropped) {
      discard(true);
    }
  }

  /** Holds a message whose turn has not come; false if it is to be written now. */
  synchronized boolean hold(AnswerTurn turn, Object message, long bytes) {
    if (turn.isCurrent()) {
      return false;
    }
    if (!closed) {
      turn.hold(message, bytes);
      heldBytes += bytes;
    }
    return true;
  }

  boolean canTakeMore(AnswerTurn turn) {
    synchronized (this) {
      if (!turn.isCurrent()) {
        return heldBytes < MAX_HELD_BYTES;
      }
    }
    return connection.canWrite();
  }

  /** Keeps an action until the turn has come; false if it has. */
  synchronized boolean postpone(AnswerTurn turn, Runnable action) {
    if (turn.isCurrent()) {
      return false;
    }
    turn.addWaiter(action);
    return true;
  }

  synchronized boolean isLast(AnswerTurn turn) {
    return turns.peekLast() == turn && suspendedHead == null;
  }

  /**
   * The answer has been written whole, or is held whole.
   *
   * @param keepAlive whether the connection may carry another request
   */
  void answered(AnswerTurn turn, boolean keepAlive) {
    synchronized (this) {
      turn.end(keepAlive);
    }
    advance();
  }

  /** The answer has broken off: the connection ends when its turn comes. */
  void cutOff(AnswerTurn turn) {
    synchronized (this) {
      turn.cutOff();
    }
    advance();
  }

  /** Passes the turn on as far as it goes. Called without the lock of any exchange. */
  private void advance() {
    synchronized (this) {
      if (advancing) {
        return;
      }
      advancing = true;
    }
    for (Runnable step = nextStep(); step != null; step = nextStep()) {
      step.run();
    }
  }

  /** What is to be done next, without the lock; null if nothing is. */
  private synchronized Runnable nextStep() {
    AnswerTurn first = turns.peekFirst();
    if (closed || ending) {
      advancing = false;
      return null;
    }
    if (first == null) {
      advancing = false;
      return lastStep();
    }
    if (!first.isCurrent()) {
      return first.isHolding() ? flush(first) : makeCurrent(first);
    }
    if (first.isEnded()) {
      return pass(first);
    }
    advancing = false;
    return null;
  }

  private Runnable lastStep() {
    Object message = lastAnswer;
    lastAnswer = null;
    return message == null ? null : () -> writeAndClose(message);
  }

  private Runnable flush(AnswerTurn turn) {
    heldBytes -= turn.heldBytes();
    List<Object> messages = turn.takeHeld();
    return () -> messages.forEach(message -> connection.write(message, null));
  }

  private Runnable makeCurrent(AnswerTurn turn) {
    turn.makeCurrent();
    List<Runnable> waiters = turn.takeWaiters();
    boolean starts = turn.takeWaitsToStart();
    return () -> {
      waiters.forEach(this::whenWritable);
      if (starts) {
        turn.exchange().onTurn();
      }
    };
  }

  /** The first answer is out: the turn passes on, or the connection ends. */
  private Runnable pass(AnswerTurn turn) {
    turns.removeFirst();
    restsSinceMillis = clockMillis.getAsLong();
    if (turn.isCutOff()) {
      ending = true;
      return () -> abort(ConnectionEnd.BROKEN_ANSWER);
    }
    closing |= !turn.isKeepAlive();
    if (!turn.isBodyComplete()) {
      discarding = turn.request();
      return resumption(takeSuspendedBody());
    }
    ending = closing;
    return ending ? () -> close(ConnectionEnd.LAST_ANSWER) : resumption(takeSuspendedHead());
  }

  private FilterChainContext takeSuspendedBody() {
    FilterChainContext waiting = suspendedBody;
    suspendedBody = null;
    return waiting;
  }

  private FilterChainContext takeSuspendedHead() {
    FilterChainContext waiting = suspendedHead;
    suspendedHead = null;
    return waiting;
  }

  private static Runnable resumption(FilterChainContext waiting) {
    return waiting == null ? () -> {} : waiting::resume;
  }

  /** Takes a piece of a body nobody wants. */
  void discard(boolean last) {
    boolean close;
    FilterChainContext waiting = null;
    synchronized (this) {
      close = last && closing;
      if (last && !close) {
        discarding = null;
        restsSinceMillis = clockMillis.getAsLong();
        waiting = takeSuspendedHead();
      }
    }
    if (close) {
      close(ConnectionEnd.LAST_ANSWER);
    }
    resumption(waiting).run();
  }

  @Override
  public synchronized boolean isAny() {
    return !turns.isEmpty();
  }

  @Override
  public void writeLast(Object message) {
    synchronized (this) {
      lastAnswer = message;
    }
    advance();
  }

  private void writeAndClose(Object message) {
    connection.write(message, null);
    close(ConnectionEnd.LAST_ANSWER);
  }

  private void close(ConnectionEnd cause) {
    endsBy(cause);
    connection.closeSilently();
  }

  /** Ends the connection at once. */
  void abort(ConnectionEnd cause) {
    endsBy(cause);
    connection.terminateSilently();
  }

  private synchronized void endsBy(ConnectionEnd cause) {
    if (endedBy == ConnectionEnd.PEER) {
      endedBy = cause;
    }
  }

  /** The peer is gone. */
  void closed() {
    List<Exchange> open = new ArrayList<>();
    boolean underLock = false;
    ConnectionEnd end;
    boolean isHeadUnbegun;
    synchronized (this) {
      closed = true;
      end = endedBy;
      isHeadUnbegun = suspendedHead != null;
      for (AnswerTurn turn : turns) {
        open.add(turn.exchange());
        // The write that found the connection broken holds the lock of one of them.
        underLock |= Thread.holdsLock(turn.exchange());
      }
      turns.clear();
      heldBytes = 0;
    }
    tell(open, isHeadUnbegun, end);
    for (Exchange exchange : open) {
      if (!underLock || Thread.holdsLock(exchange)) {
        exchange.onCallerGone();
      } else {
        synchronized (this) {
          goneLater.add(exchange);
        }
      }
    }
  }

  private void tell(List<Exchange> open, boolean isHeadUnbegun, ConnectionEnd end) {
    if (open.isEmpty() && !isHeadUnbegun) {
      return;
    }
    List<String> ids = open.stream().map(CallerConnection::idOf).toList();
    int sentOn = (int) open.stream().filter(exchange -> exchange.attempts() > 0).count();
    log.ended(new UnansweredRequests(side, end, ids, sentOn, isHeadUnbegun ? 1 : 0));
  }

  private static String idOf(Exchange exchange) {
    RequestPlan plan = exchange.plan();
    return plan == null ? "" : plan.requestId();
  }

  /** Ends the exchanges that could not be ended under another's lock. */
  void endThoseLeft() {
    List<Exchange> left;
    synchronized (this) {
      if (goneLater.isEmpty()) {
        return;
      }
      left = List.copyOf(goneLater);
      goneLater.clear();
    }
    left.forEach(Exchange::onCallerGone);
  }

  /** Closes the connection if it has had no request, or dropped a body, for too long. */
  void expire(long idleMillis, long discardMillis) {
    long age = clockMillis.getAsLong() - restsSinceMillis;
    boolean expired;
    synchronized (this) {
      expired = turns.isEmpty() && age >= (discarding == null ? idleMillis : discardMillis);
    }
    if (expired) {
      close(ConnectionEnd.IDLE);
    }
  }

  /** Closes the connection if no request is under way. */
  void closeIfIdle() {
    boolean idle;
    synchronized (this) {
      idle = turns.isEmpty() && discarding == null;
    }
    if (idle) {
      close(ConnectionEnd.IDLE);
    }
  }

  /** Bytes of answers that the socket has not taken yet. */
  long unwrittenBytes() {
    return connection instanceof NIOConnection nio ? nio.getAsyncWriteQueue().spaceInBytes() : 0;
  }

  void whenWritable(Runnable action) {
    connection.notifyCanWrite(new OriginConnection.WhenWritable(connection, action));
  }
}
