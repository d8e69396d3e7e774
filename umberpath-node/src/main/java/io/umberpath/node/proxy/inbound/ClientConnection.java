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
final class ClientConnection implements PendingAnswers {
  private static final Attribute<ClientConnection> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.callerConnection");

  private final Connection<?> connection;
  private final ProxyStats.Side side;
  private final ConnectionLog log;
  private final IdleTimer idleTimer;
  private final ResponsePipeline pipeline = new ResponsePipeline();
  private final ExchangeCanceller canceller = new ExchangeCanceller();
  private final Arrival arrival;
  private final SuspendedReads reads;
  private final DroppedInput droppedInput = new DroppedInput();
  private ConnectionState state = ConnectionState.OPEN;
  private ConnectionEnd endCause = ConnectionEnd.PEER;
  private boolean isAdvancing;

  /** A request was let in and has no turn yet. */
  private boolean isBeginning;

  /** The connection ends when no request is under way. */
  private boolean endsWhenIdle;

  private Object finalResponse;

  /** The request whose answer is complete but whose body is not; the rest is read and dropped. */
  private HttpHeader discarded;

  ClientConnection(
      Connection<?> connection, ProxyStats.Side side, ExchangeEnvironment environment) {
    this.connection = connection;
    this.side = side;
    this.log = environment.connectionLog();
    this.idleTimer = new IdleTimer(environment.clockMillis());
    this.arrival = Arrival.accepted(connection);
    this.reads = new SuspendedReads(connection, arrival);
    ATTRIBUTE.set(connection, this);
    PendingAnswers.attach(connection, this);
  }

  static ClientConnection of(Connection<?> connection) {
    return ATTRIBUTE.get(connection);
  }

  Connection<?> connection() {
    return connection;
  }

  /** The earliest moment at which what was last read can have arrived, on the nano clock. */
  long earliestArrivalNanos() {
    return arrival.earliestNanos();
  }

  /** The exchange this content belongs to; null if it begins one or is to be dropped. */
  synchronized Exchange exchangeOf(HttpContent content) {
    return pipeline.exchangeOf(content);
  }

  synchronized boolean isDiscarding(HttpContent content) {
    return discarded != null && discarded == content.getHttpHeader();
  }

  /**
   * Lets a request whose head has just arrived wait while too much is under way, or while the last
   * answer is; it is then seen again.
   *
   * @return the action that waits, or null if the request may begin now
   */
  synchronized NextAction suspendIfFull(FilterChainContext context) {
    if (state == ConnectionState.OPEN && pipeline.hasRoom() && discarded == null) {
      isBeginning = true;
      return null;
    }
    return reads.suspendAtHead(context);
  }

  /** A request has been read: its answer comes after those of the requests before it. */
  synchronized PipelinedResponse begin(Exchange exchange, HttpHeader request) {
    PipelinedResponse response = new PipelinedResponse(this, request, exchange);
    isBeginning = false;
    if (state != ConnectionState.CLOSED) {
      pipeline.add(response);
    }
    if (!request.getProcessingState().isKeepAlive()) {
      announceLast();
    }
    return response;
  }

  /**
   * Whether a request may start beside those before it. If not, it starts when its turn comes.
   *
   * @param runsBesideOthers whether it may run at the same time as others, and again
   */
  synchronized boolean mayStart(PipelinedResponse response, boolean mayRunConcurrently) {
    response.setConcurrent(mayRunConcurrently);
    boolean startsNow = pipeline.mayStartConcurrently(response);
    if (!startsNow) {
      response.deferStart();
    }
    return startsNow;
  }

  /** Stops reading until {@link #resume} is called with the same context. */
  synchronized NextAction suspend(FilterChainContext context) {
    return reads.suspendInBody(context);
  }

  /** Reads on after {@link #suspend}; nothing if that context goes on already. */
  void resume(FilterChainContext context) {
    Runnable resumption;
    synchronized (this) {
      resumption = reads.takeBodyResumption(context);
    }
    resumption.run();
  }

  /** The request has been read whole. */
  void requestBodyComplete(PipelinedResponse response) {
    boolean isDiscarded;
    synchronized (this) {
      response.completeBody();
      isDiscarded = discarded == response.request();
    }
    if (isDiscarded) {
      discard(true);
    }
  }

  /** Holds a message whose turn has not come; false if it is to be written now. */
  synchronized boolean hold(PipelinedResponse response, Object message, long bytes) {
    if (response.isCurrent()) {
      return false;
    }
    if (state != ConnectionState.CLOSED) {
      pipeline.hold(response, message, bytes);
    }
    return true;
  }

  boolean canWrite(PipelinedResponse response) {
    synchronized (this) {
      if (!response.isCurrent()) {
        return pipeline.canHoldMore();
      }
    }
    return connection.canWrite();
  }

  /** Keeps an action until the turn has come; false if it has. */
  synchronized boolean postponeUntilCurrent(PipelinedResponse response, Runnable action) {
    if (response.isCurrent()) {
      return false;
    }
    response.addWaiter(action);
    return true;
  }

  /**
   * Makes an answer the last if no request has arrived behind it. From then on none is begun: it
   * would run, and have no answer.
   *
   * @return whether the answer is to say that the connection ends
   */
  synchronized boolean tryMakeLast(PipelinedResponse response) {
    boolean hasInputBehind = !pipeline.isLast(response) || isBeginning || reads.hasInputNow();
    if (!hasInputBehind) {
      announceLast();
    }
    return !hasInputBehind;
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
  void responseComplete(PipelinedResponse response, boolean keepAlive) {
    synchronized (this) {
      response.end(keepAlive);
    }
    advance();
  }

  /** The answer has broken off: the connection ends when its turn comes. */
  void responseTruncated(PipelinedResponse response) {
    synchronized (this) {
      response.truncate();
    }
    advance();
  }

  /** Passes the turn on as far as it goes. Called without the lock of any exchange. */
  private void advance() {
    synchronized (this) {
      if (isAdvancing) {
        return;
      }
      isAdvancing = true;
    }
    for (Runnable step = nextStep(); step != null; step = nextStep()) {
      step.run();
    }
  }

  /** What is to be done next, without the lock; null if nothing is. */
  private synchronized Runnable nextStep() {
    PipelinedResponse first = pipeline.first();
    if (state.isOver()) {
      isAdvancing = false;
      return null;
    }
    if (first == null) {
      isAdvancing = false;
      return writeFinalResponse();
    }
    if (!first.isCurrent()) {
      return first.hasHeldMessages() ? flush(first) : makeCurrent(first);
    }
    if (first.isEnded()) {
      return completeFirst(first);
    }
    isAdvancing = false;
    return null;
  }

  private Runnable writeFinalResponse() {
    Object message = finalResponse;
    finalResponse = null;
    if (message == null) {
      return null;
    }
    Runnable end = endOutput(ConnectionEnd.LAST_ANSWER);
    return () -> {
      connection.write(message, null);
      end.run();
    };
  }

  private Runnable flush(PipelinedResponse response) {
    boolean isWhole = response.isEnded() && !response.isTruncated();
    List<Object> messages = pipeline.takeHeld(response);
    return () -> {
      if (isWhole) {
        response.exchange().beforeHeldResponseWritten();
      }
      messages.forEach(message -> connection.write(message, null));
    };
  }

  private Runnable makeCurrent(PipelinedResponse response) {
    response.makeCurrent();
    List<Runnable> waiters = response.takeWaiters();
    boolean starts = response.takeDeferredStart();
    return () -> {
      waiters.forEach(this::runWhenWritable);
      if (starts) {
        response.exchange().onBecameCurrent();
      }
    };
  }

  /** The first answer is out: the turn passes on, or the connection ends. */
  private Runnable completeFirst(PipelinedResponse response) {
    pipeline.removeFirst();
    idleTimer.restart();
    if (response.isTruncated()) {
      state = ConnectionState.OUTPUT_ENDED;
      return () -> abort(ConnectionEnd.BROKEN_ANSWER);
    }
    boolean isLast =
        state == ConnectionState.LAST_ANSWER && pipeline.isEmpty() && finalResponse == null;
    if (isLast || !response.isKeepAlive()) {
      return endOutput(ConnectionEnd.LAST_ANSWER);
    }
    if (!response.isBodyComplete()) {
      discarded = response.request();
      return reads.takeBodyResumption();
    }
    return resumeReading();
  }

  /** Another request may begin; or the connection ends, if it is to end at rest. */
  private Runnable resumeReading() {
    Runnable head = reads.takeHeadResumption();
    return () -> {
      head.run();
      endIfIdleAfterReading();
    };
  }

  private void endIfIdleAfterReading() {
    boolean shouldEnd;
    synchronized (this) {
      shouldEnd = endsWhenIdle;
    }
    if (shouldEnd) {
      afterReading(this::endIfIdle);
    }
  }

  /** Whether no request is under way, as far as has been read. */
  private boolean isIdle() {
    boolean isRequestUnderWay = !pipeline.isEmpty() || isBeginning || reads.hasInput();
    return !isRequestUnderWay && discarded == null && finalResponse == null;
  }

  /** Nothing more is written; what the peer still sends is dropped until it ends, too. */
  private Runnable endOutput(ConnectionEnd cause) {
    state = ConnectionState.OUTPUT_ENDED;
    droppedInput.outputEnds();
    setEndCause(cause);
    idleTimer.restart();
    Runnable head = reads.takeHeadResumption();
    Runnable body = reads.takeBodyResumption();
    return () -> {
      OutputShutdown.afterPendingWrites(connection);
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
      discarded = null;
      idleTimer.restart();
      next = state.isOver() ? () -> {} : resumeReading();
    }
    next.run();
  }

  @Override
  public synchronized boolean isEnded() {
    return state.isOver();
  }

  @Override
  public synchronized void keepsUndecoded(boolean isKept) {
    reads.keepsUndecoded(isKept);
  }

  @Override
  public synchronized void dropped(int bytes) {
    droppedInput.add(bytes);
  }

  @Override
  public void writeLast(Object message) {
    synchronized (this) {
      announceLast();
      finalResponse = message;
    }
    advance();
  }

  /** Ends the connection at once. */
  void abort(ConnectionEnd cause) {
    setEndCause(cause);
    connection.terminateSilently();
  }

  private synchronized void setEndCause(ConnectionEnd cause) {
    if (endCause == ConnectionEnd.PEER) {
      endCause = cause;
    }
  }

  /** The connection is gone. */
  void onClosed() {
    List<Exchange> open;
    ConnectionEnd cause;
    UnansweredRequests.Input input;
    synchronized (this) {
      state = ConnectionState.CLOSED;
      open = pipeline.takeAll();
      cause =
          endCause == ConnectionEnd.PEER
              ? ConnectionEnd.ofCloseReason(connection.getCloseReason())
              : endCause;
      input = droppedInput.input(connection, reads.isSuspendedAtHead());
    }
    // Exchanges are asked for their own state, under their own locks.
    UnansweredRequests unanswered = UnansweredRequests.of(side, cause, open, input);
    if (unanswered.isAny()) {
      log.ended(unanswered);
    }
    canceller.cancel(open);
  }

  /** Ends the exchanges that could not be ended under another's lock. */
  void cancelDeferred() {
    canceller.cancelDeferred();
  }

  /**
   * Ends the connection if it has had no request for too long; and closes it if its peer does not
   * end a body that is dropped, or the connection itself, in time.
   *
   * @param idleMillis bound also for a peer that takes nothing of what was written
   */
  void expire(long idleMillis, long lingerMillis) {
    idleTimer.noteUnwrittenBytes(unwrittenBytes());
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
    boolean isLingering = discarded != null || state == ConnectionState.OUTPUT_ENDED;
    boolean isShort = isLingering && unwrittenBytes() == 0;
    return (isLingering || isIdle()) && idleTimer.hasElapsed(isShort ? lingerMillis : idleMillis);
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
  void endWhenIdle() {
    synchronized (this) {
      endsWhenIdle = true;
    }
    endIfIdleAfterReading();
  }

  private void endIfIdle() {
    Runnable next = () -> {};
    synchronized (this) {
      if (state == ConnectionState.OPEN && isIdle()) {
        next = endOutput(ConnectionEnd.STOP);
      } else if (pipeline.isEmpty() && reads.hasBufferedBytes()) {
        // Less than a whole request has no answer that would end the connection.
        next = () -> afterReading(this::endIfIdle);
      }
    }
    next.run();
  }

  /** Bytes of answers that the socket has not taken yet. */
  long unwrittenBytes() {
    return connection instanceof NIOConnection nio ? nio.getAsyncWriteQueue().spaceInBytes() : 0;
  }

  void runWhenWritable(Runnable action) {
    connection.notifyCanWrite(new OriginConnection.WhenWritable(connection, action));
  }
}
