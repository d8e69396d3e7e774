package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.http.PendingResponses;
import io.umberpath.node.proxy.loop.ArrivalTime;
import io.umberpath.node.proxy.origin.OriginConnection;
import io.umberpath.node.proxy.origin.SelectorTasks;
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
 * One inbound connection of a client or another node. Pipelined requests run concurrently where
 * that is safe; responses are written in the order of the requests. Each begun request is answered
 * before the connection is closed in order, see {@link ConnectionState}. Thread-safe; its lock may
 * be taken while an exchange's lock is held, never the other way round.
 */
final class ClientConnection implements PendingResponses {
  private static final Attribute<ClientConnection> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.clientConnection");

  private final Connection<?> connection;
  private final ProxyStats.Side side;
  private final ConnectionLog log;
  private final IdleTimer idleTimer;
  private final ResponsePipeline pipeline = new ResponsePipeline();
  private final ExchangeCanceller canceller = new ExchangeCanceller();
  private final ArrivalTime arrivalTime;
  private final SuspendedReads reads;
  private final DiscardedInput discardedInput = new DiscardedInput();
  private ConnectionState state = ConnectionState.OPEN;
  private ConnectionEnd endCause = ConnectionEnd.PEER;
  private boolean isAdvancing;

  /** A request has been let in but is not in the pipeline yet. */
  private boolean isBeginning;

  /** Whether the connection ends as soon as no request is in flight. */
  private boolean endsWhenIdle;

  private Object finalResponse;

  /** The request whose response is complete but whose body is not and is discarded. */
  private HttpHeader discarded;

  ClientConnection(
      Connection<?> connection, ProxyStats.Side side, ExchangeEnvironment environment) {
    this.connection = connection;
    this.side = side;
    this.log = environment.connectionLog();
    this.idleTimer = new IdleTimer(environment.clockMillis());
    this.arrivalTime = ArrivalTime.attachTo(connection);
    this.reads = new SuspendedReads(connection, arrivalTime);
    ATTRIBUTE.set(connection, this);
    PendingResponses.attach(connection, this);
  }

  static ClientConnection of(Connection<?> connection) {
    return ATTRIBUTE.get(connection);
  }

  Connection<?> connection() {
    return connection;
  }

  /** The earliest time at which the last input can have arrived, on {@link System#nanoTime}. */
  long earliestArrivalNanos() {
    return arrivalTime.earliestNanos();
  }

  /** The exchange to which this content belongs; null if it starts one or is to be discarded. */
  synchronized Exchange exchangeOf(HttpContent content) {
    return pipeline.exchangeOf(content);
  }

  synchronized boolean isDiscarding(HttpContent content) {
    return discarded != null && discarded == content.getHttpHeader();
  }

  /**
   * Suspends reading at the head of a request while the pipeline is full, or once the last response
   * has been announced. The head is passed in again when reading resumes.
   *
   * @return the suspend action, or null if the request may begin now
   */
  synchronized NextAction suspendIfFull(FilterChainContext context) {
    if (state == ConnectionState.OPEN && pipeline.hasRoom() && discarded == null) {
      isBeginning = true;
      return null;
    }
    return reads.suspendAtHead(context);
  }

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
   * Returns whether a request starts now. If not, it starts once those ahead of it allow it.
   *
   * @param mayRunConcurrently whether it may run at the same time as others, and more than once
   */
  synchronized boolean startOrDefer(PipelinedResponse response, boolean mayRunConcurrently) {
    response.setConcurrent(mayRunConcurrently);
    return pipeline.startOrDefer(response);
  }

  /** See {@link PipelinedResponse#tryStartStreaming}. */
  synchronized boolean tryStartStreaming(PipelinedResponse response) {
    return pipeline.tryStartStreaming(response);
  }

  /** See {@link PipelinedResponse#setBufferedBytes}. */
  synchronized void setBufferedBytes(PipelinedResponse response, int bytes) {
    pipeline.setBufferedBytes(response, bytes);
  }

  /** Suspends reading within a body until {@link #resume} is called with the same context. */
  synchronized NextAction suspend(FilterChainContext context) {
    return reads.suspendInBody(context);
  }

  /** Resumes reading after {@link #suspend}; does nothing if that context has been resumed. */
  void resume(FilterChainContext context) {
    Runnable resumption;
    synchronized (this) {
      resumption = reads.takeBodyResumption(context);
    }
    resumption.run();
  }

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

  /** Holds a message unless its response is the current one; false if it must be written now. */
  synchronized boolean hold(PipelinedResponse response, Object message, long bytes) {
    if (response.isCurrent()) {
      return false;
    }
    if (state != ConnectionState.CLOSED) {
      pipeline.hold(response, message, bytes);
    }
    return true;
  }

  synchronized boolean canWrite(PipelinedResponse response) {
    return response.isCurrent() ? connection.canWrite() : pipeline.canHoldMore();
  }

  /** Keeps an action until the response is the current one; false if it already is. */
  synchronized boolean postponeUntilCurrent(PipelinedResponse response, Runnable action) {
    if (response.isCurrent()) {
      return false;
    }
    response.addWaiter(action);
    return true;
  }

  /**
   * Makes a response the last one if no request has arrived behind it; a later request would run
   * and have no response.
   *
   * @return whether the response must announce that the connection closes
   */
  synchronized boolean tryMakeLast(PipelinedResponse response) {
    boolean hasInputBehind = !pipeline.isLast(response) || isBeginning || reads.hasInputNow();
    if (!hasInputBehind) {
      announceLast();
    }
    return !hasInputBehind;
  }

  /** Called when a response announces that the connection closes: no later request is begun. */
  synchronized void announceLast() {
    if (state == ConnectionState.OPEN) {
      state = ConnectionState.LAST_RESPONSE;
    }
  }

  /**
   * The response is complete, written or held.
   *
   * @param keepAlive whether the connection may carry another request
   */
  void responseComplete(PipelinedResponse response, boolean keepAlive) {
    synchronized (this) {
      response.end(keepAlive);
    }
    advance();
  }

  /** The response is truncated: the connection is closed once the responses ahead are complete. */
  void responseTruncated(PipelinedResponse response) {
    synchronized (this) {
      response.truncate();
    }
    advance();
  }

  /** Advances the pipeline as far as possible. Must be called without the lock of any exchange. */
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

  /** Chooses the next step, which runs without the lock; null if there is none. */
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
    List<Exchange> started = pipeline.startDeferred();
    return () -> {
      response.exchange().forwardBufferedPart();
      waiters.forEach(this::runWhenWritable);
      started.forEach(Exchange::startDeferred);
    };
  }

  /** The first response is complete: makes the next one the first, or ends the connection. */
  private Runnable completeFirst(PipelinedResponse response) {
    pipeline.removeFirst();
    idleTimer.restart();
    if (response.isTruncated()) {
      state = ConnectionState.OUTPUT_ENDED;
      return () -> abort(ConnectionEnd.BROKEN_ANSWER);
    }
    boolean isLast =
        state == ConnectionState.LAST_RESPONSE && pipeline.isEmpty() && finalResponse == null;
    if (isLast || !response.isKeepAlive()) {
      return endOutput(ConnectionEnd.LAST_ANSWER);
    }
    if (!response.isBodyComplete()) {
      discarded = response.request();
      return reads.takeBodyResumption();
    }
    return resumeReading();
  }

  /** Lets another request begin, or ends the connection if it is to end when idle. */
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

  /** Whether no request is in flight, as far as has been read. */
  private boolean isIdle() {
    boolean isRequestInFlight = !pipeline.isEmpty() || isBeginning || reads.hasInput();
    return !isRequestInFlight && discarded == null && finalResponse == null;
  }

  /** Shuts the output down; input is discarded until the peer closes, too. */
  private Runnable endOutput(ConnectionEnd cause) {
    state = ConnectionState.OUTPUT_ENDED;
    discardedInput.recordOutputEnd();
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

  /** Discards a part of a body whose request has been answered. */
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
  public synchronized void setHasUndecodedBytes(boolean hasUndecodedBytes) {
    reads.setHasUndecodedBytes(hasUndecodedBytes);
  }

  @Override
  public synchronized void onBytesDiscarded(int bytes) {
    discardedInput.add(bytes);
  }

  @Override
  public void writeFinalResponse(Object message) {
    synchronized (this) {
      announceLast();
      finalResponse = message;
    }
    advance();
  }

  void abort(ConnectionEnd cause) {
    setEndCause(cause);
    connection.terminateSilently();
  }

  private synchronized void setEndCause(ConnectionEnd cause) {
    if (endCause == ConnectionEnd.PEER) {
      endCause = cause;
    }
  }

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
      input = discardedInput.summarize(connection, reads.isSuspendedAtHead());
    }
    // Outside of this lock, since it takes the locks of the exchanges.
    UnansweredRequests unanswered = UnansweredRequests.of(side, cause, open, input);
    if (unanswered.isAny()) {
      log.ended(unanswered);
    }
    canceller.cancel(open);
  }

  /** Cancels the exchanges that could not be cancelled under another one's lock. */
  void cancelDeferred() {
    canceller.cancelDeferred();
  }

  /**
   * Ends the connection if it is idle for too long, and closes it if the peer does not finish a
   * discarded body, or close its side, in time.
   *
   * @param idleMillis timeout of an idle connection, also of a peer that reads none of the output
   * @param lingerMillis timeout of a peer that has read all output
   */
  void expire(long idleMillis, long lingerMillis) {
    idleTimer.noteUnwrittenBytes(unwrittenBytes());
    if (isOverdue(idleMillis, lingerMillis)) {
      afterReading(() -> endOverdue(idleMillis, lingerMillis));
    }
  }

  /**
   * Runs a task on the selector thread after it has read all input that had arrived: a process that
   * got no CPU for a while runs its timers before it reads its sockets.
   */
  private void afterReading(Runnable task) {
    SelectorTasks.runDeferred(connection, () -> SelectorTasks.runDeferred(connection, task));
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

  /** Ends the connection as soon as all requests read from it are answered. */
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
        // An incomplete request has no response that would end the connection.
        next = () -> afterReading(this::endIfIdle);
      }
    }
    next.run();
  }

  /** Response bytes that the socket has not accepted yet. */
  long unwrittenBytes() {
    return connection instanceof NIOConnection nio ? nio.getAsyncWriteQueue().spaceInBytes() : 0;
  }

  void runWhenWritable(Runnable action) {
    connection.notifyCanWrite(new OriginConnection.WhenWritable(connection, action));
  }
}
