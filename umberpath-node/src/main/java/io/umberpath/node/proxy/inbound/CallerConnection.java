package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.http.PendingAnswers;
import io.umberpath.node.proxy.loop.Arrival;
import io.umberpath.node.proxy.origin.OriginConnection;
import io.umberpath.node.proxy.origin.OwnTurn;
import io.umberpath.node.proxy.stats.ProxyStats;
import java.util.List;
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
 * run side by side where that is safe; answers go out in the order of the requests. Each request
 * that is begun is answered before the connection ends in order, see {@link ConnectionState}.
 * Thread-safe; an exchange's lock may be held when its own is taken, never the other way round.
 */
final class CallerConnection implements PendingAnswers {
  private static final Attribute<CallerConnection> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.callerConnection");

  private final Connection<?> connection;
  private final ProxyStats.Side side;
  private final ConnectionLog log;
  private final RestTime rest;
  private final AnswerTurns turns = new AnswerTurns();
  private final LostExchanges lost = new LostExchanges();
  private final Arrival arrival;
  private final SuspendedReads suspended;
  private final DroppedInput dropped = new DroppedInput();
  private ConnectionState state = ConnectionState.OPEN;
  private ConnectionEnd endedBy = ConnectionEnd.PEER;
  private boolean advancing;

  /** A request was let in and has no turn yet. */
  private boolean beginning;

  /** The connection ends when no request is under way. */
  private boolean endsAtRest;

  private Object lastAnswer;

  /** The request whose answer is complete but whose body is not; the rest is read and dropped. */
  private HttpHeader discarding;

  CallerConnection(
      Connection<?> connection, ProxyStats.Side side, ExchangeEnvironment environment) {
    this.connection = connection;
    this.side = side;
    this.log = environment.connectionLog();
    this.rest = new RestTime(environment.clockMillis());
    this.arrival = Arrival.accepted(connection);
    this.suspended = new SuspendedReads(connection, arrival);
    ATTRIBUTE.set(connection, this);
    PendingAnswers.attach(connection, this);
  }

  static CallerConnection of(Connection<?> connection) {
    return ATTRIBUTE.get(connection);
  }

  Connection<?> connection() {
    return connection;
  }

  /** The earliest moment at which what was last read can have arrived, on the nano clock. */
  long arrivedNanos() {
    return arrival.earliestNanos();
  }

  /** The exchange this content belongs to; null if it begins one or is to be dropped. */
  synchronized Exchange exchangeOf(HttpContent content) {
    return turns.exchangeOf(content);
  }

  synchronized boolean isDiscarding(HttpContent content) {
    return discarding != null && discarding == content.getHttpHeader();
  }

  /**
   * Lets a request whose head has just arrived wait while too much is under way, or while the last
   * answer is; it is then seen again.
   *
   * @return the action that waits, or null if the request may begin now
   */
  synchronized NextAction awaitRoom(FilterChainContext context) {
    if (state == ConnectionState.OPEN && turns.hasRoom() && discarding == null) {
      beginning = true;
      return null;
    }
    return suspended.atHead(context);
  }

  /** A request has been read: its answer comes after those of the requests before it. */
  synchronized AnswerTurn begin(Exchange exchange, HttpHeader request) {
    AnswerTurn turn = new AnswerTurn(this, request, exchange);
    beginning = false;
    if (state != ConnectionState.CLOSED) {
      turns.add(turn);
    }
    if (!request.getProcessingState().isKeepAlive()) {
      announceLast();
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
    boolean starts = turns.mayStartBesideOthers(turn);
    if (!starts) {
      turn.waitToStart();
    }
    return starts;
  }

  /** Stops reading until {@link #resume} is called with the same context. */
  synchronized NextAction suspend(FilterChainContext context) {
    return suspended.inBody(context);
  }

  /** Reads on after {@link #suspend}; nothing if that context goes on already. */
  void resume(FilterChainContext context) {
    Runnable resumption;
    synchronized (this) {
      resumption = suspended.takeBody(context);
    }
    resumption.run();
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
    if (state != ConnectionState.CLOSED) {
      turns.hold(turn, message, bytes);
    }
    return true;
  }

  boolean canTakeMore(AnswerTurn turn) {
    synchronized (this) {
      if (!turn.isCurrent()) {
        return turns.canHoldMore();
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

  /**
   * Makes an answer the last if no request has arrived behind it. From then on none is begun: it
   * would run, and have no answer.
   *
   * @return whether the answer is to say that the connection ends
   */
  synchronized boolean endsWith(AnswerTurn turn) {
    boolean isBehind = !turns.isLast(turn) || beginning || suspended.isMoreBehind();
    if (!isBehind) {
      announceLast();
    }
    return !isBehind;
  }

  /** No request is begun any more: an answer under way says that the connection ends. */
  synchronized void announceLast() {
    if (state == ConnectionState.OPEN) {
      state = ConnectionState.LAST_ANSWER;
    }
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
    AnswerTurn first = turns.first();
    if (state.isOver()) {
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
    if (message == null) {
      return null;
    }
    Runnable end = endOutput(ConnectionEnd.LAST_ANSWER);
    return () -> {
      connection.write(message, null);
      end.run();
    };
  }

  private Runnable flush(AnswerTurn turn) {
    boolean isWhole = turn.isEnded() && !turn.isCutOff();
    List<Object> messages = turns.takeHeld(turn);
    return () -> {
      if (isWhole) {
        turn.exchange().heldAnswerGoesOut();
      }
      messages.forEach(message -> connection.write(message, null));
    };
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
    rest.restart();
    if (turn.isCutOff()) {
      state = ConnectionState.OUTPUT_ENDED;
      return () -> abort(ConnectionEnd.BROKEN_ANSWER);
    }
    boolean isLast = state == ConnectionState.LAST_ANSWER && turns.isEmpty() && lastAnswer == null;
    if (isLast || !turn.isKeepAlive()) {
      return endOutput(ConnectionEnd.LAST_ANSWER);
    }
    if (!turn.isBodyComplete()) {
      discarding = turn.request();
      return suspended.takeBody();
    }
    return readOn();
  }

  /** Another request may begin; or the connection ends, if it is to end at rest. */
  private Runnable readOn() {
    Runnable head = suspended.takeHead();
    return () -> {
      head.run();
      endIfAtRestAfterReading();
    };
  }

  private void endIfAtRestAfterReading() {
    boolean isToEnd;
    synchronized (this) {
      isToEnd = endsAtRest;
    }
    if (isToEnd) {
      afterReading(this::endIfAtRest);
    }
  }

  /** Whether no request is under way, as far as has been read. */
  private boolean isAtRest() {
    boolean isRequestUnderWay = !turns.isEmpty() || beginning || suspended.isMoreRead();
    return !isRequestUnderWay && discarding == null && lastAnswer == null;
  }

  /** Nothing more is written; what the peer still sends is dropped until it ends, too. */
  private Runnable endOutput(ConnectionEnd cause) {
    state = ConnectionState.OUTPUT_ENDED;
    dropped.outputEnds();
    endsBy(cause);
    rest.restart();
    Runnable head = suspended.takeHead();
    Runnable body = suspended.takeBody();
    return () -> {
      OutputEnd.afterAllWritten(connection);
      head.run();
      body.run();
    };
  }

  /** Takes a piece of a body nobody wants. */
  void discard(boolean last) {
    if (!last) {
      return;
    }
    Runnable next;
    synchronized (this) {
      discarding = null;
      rest.restart();
      next = state.isOver() ? () -> {} : readOn();
    }
    next.run();
  }

  @Override
  public synchronized boolean isEnded() {
    return state.isOver();
  }

  @Override
  public synchronized void keepsUndecoded(boolean isKept) {
    suspended.keepsUndecoded(isKept);
  }

  @Override
  public synchronized void dropped(int bytes) {
    dropped.add(bytes);
  }

  @Override
  public void writeLast(Object message) {
    synchronized (this) {
      announceLast();
      lastAnswer = message;
    }
    advance();
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

  /** The connection is gone. */
  void closed() {
    List<Exchange> open;
    ConnectionEnd cause;
    UnansweredRequests.Input input;
    synchronized (this) {
      state = ConnectionState.CLOSED;
      open = turns.takeAll();
      cause =
          endedBy == ConnectionEnd.PEER
              ? ConnectionEnd.ofCloseReason(connection.getCloseReason())
              : endedBy;
      input = dropped.input(connection, suspended.isAtHead());
    }
    // Exchanges are asked for their own state, under their own locks.
    UnansweredRequests unanswered = UnansweredRequests.of(side, cause, open, input);
    if (unanswered.isAny()) {
      log.ended(unanswered);
    }
    lost.end(open);
  }

  /** Ends the exchanges that could not be ended under another's lock. */
  void endThoseLeft() {
    lost.endThoseLeft();
  }

  /**
   * Ends the connection if it has had no request for too long; and closes it if its peer does not
   * end a body that is dropped, or the connection itself, in time.
   *
   * @param idleMillis bound also for a peer that takes nothing of what was written
   */
  void expire(long idleMillis, long lingerMillis) {
    rest.noteOutput(unwrittenBytes());
    if (isOverdue(idleMillis, lingerMillis)) {
      afterReading(() -> endOverdue(idleMillis, lingerMillis));
    }
  }

  /**
   * Runs a task on the thread that reads, once that has read what had arrived before: a process
   * that had no processor for a while sees its timers before its sockets.
   */
  private void afterReading(Runnable task) {
    OwnTurn.run(connection, () -> OwnTurn.run(connection, task));
  }

  private synchronized boolean isOverdue(long idleMillis, long lingerMillis) {
    boolean lingers = discarding != null || state == ConnectionState.OUTPUT_ENDED;
    boolean isShort = lingers && unwrittenBytes() == 0;
    return (lingers || isAtRest()) && rest.isOver(isShort ? lingerMillis : idleMillis);
  }

  private void endOverdue(long idleMillis, long lingerMillis) {
    Runnable end;
    synchronized (this) {
      if (!isOverdue(idleMillis, lingerMillis)) {
        return;
      }
      end =
          state == ConnectionState.OUTPUT_ENDED
              ? () -> abort(ConnectionEnd.LAST_ANSWER)
              : endOutput(ConnectionEnd.IDLE);
    }
    end.run();
  }

  /** Ends the connection when all that has been read from it is answered. */
  void endAtRest() {
    synchronized (this) {
      endsAtRest = true;
    }
    endIfAtRestAfterReading();
  }

  private void endIfAtRest() {
    Runnable next = () -> {};
    synchronized (this) {
      if (state == ConnectionState.OPEN && isAtRest()) {
        next = endOutput(ConnectionEnd.STOP);
      } else if (turns.isEmpty() && suspended.isHolding()) {
        // Less than a whole request has no answer that would end the connection.
        next = () -> afterReading(this::endIfAtRest);
      }
    }
    next.run();
  }

  /** Bytes of answers that the socket has not taken yet. */
  long unwrittenBytes() {
    return connection instanceof NIOConnection nio ? nio.getAsyncWriteQueue().spaceInBytes() : 0;
  }

  void whenWritable(Runnable action) {
    connection.notifyCanWrite(new OriginConnection.WhenWritable(connection, action));
  }
}
