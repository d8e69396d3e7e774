package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.HeaderFields;
import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.node.proxy.loop.EventLoop;
import io.umberpath.node.proxy.origin.OriginConnection;
import io.umberpath.node.proxy.origin.ResponsePart;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.vavr.control.Either;
import java.util.Optional;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpBrokenContent;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * One request and its final response, through one or more attempts. The client gets exactly one
 * final response, or its connection is closed. Thread-safe; never takes another exchange's lock
 * under its own.
 */
public final class Exchange {
  private final ClientConnection client;
  private final PipelinedResponse pipelined;
  private final RequestHead request;
  private final RequestHandler handler;
  private final ExchangeEnvironment environment;
  private final ResponseWriter responseWriter;
  private final RequestBody body = new RequestBody();
  private final AttemptHistory history = new AttemptHistory();
  private final ResponseProgress progress = new ResponseProgress();
  private final RequestAge age;
  private ExchangeStage stage = ExchangeStage.PENDING;
  private RequestPlan plan;
  private Attempt attempt;
  private Runnable bodyResumption;
  private Verdict outcome;
  private boolean isResponseTruncated;
  private boolean dispatchAgain;
  private boolean awaitsBufferedBody;

  Exchange(
      ClientConnection client,
      HttpRequestPacket packet,
      RequestHandler handler,
      ExchangeEnvironment environment) {
    this.client = client;
    this.age = RequestAge.readNow(client.earliestArrivalNanos());
    this.request = RequestHead.of(packet);
    this.handler = handler;
    this.environment = environment;
    this.pipelined = client.begin(this, packet);
    this.responseWriter = new ResponseWriter(pipelined, packet, handler);
  }

  /** The client's request. */
  public RequestHead request() {
    return request;
  }

  /** The attempts made so far. */
  public AttemptHistory history() {
    return history;
  }

  /** The handler's plan; null before it is made and for a refused request. */
  public RequestPlan plan() {
    return plan;
  }

  /** The request body received so far. */
  public RequestBody body() {
    return body;
  }

  /** Sends 100 (Continue) to the client; returns whether the request still waits for its body. */
  public synchronized boolean sendContinue() {
    boolean waits = stage == ExchangeStage.PENDING;
    if (waits) {
      responseWriter.writeContinue();
    }
    return waits;
  }

  /** Status of the response whose first part has been forwarded to the client; 0 before. */
  public synchronized int responseStatus() {
    return progress.status();
  }

  /** The age of the request. */
  public RequestAge age() {
    return age;
  }

  ExchangeEnvironment environment() {
    return environment;
  }

  /** The stage of the request. Guarded by this exchange's lock. */
  ExchangeStage stage() {
    return stage;
  }

  /** How much of the response has been forwarded. Guarded by this exchange's lock. */
  ResponseProgress progress() {
    return progress;
  }

  /** The origin of the current attempt; null if there is none. */
  public synchronized String currentOrigin() {
    return attempt == null ? null : attempt.originId();
  }

  /** Starts with the head and the first body part; returns whether to keep reading. */
  boolean begin(HttpContent first) {
    environment.exchangeBegun(this, handler.side());
    boolean isMalformed = first instanceof HttpBrokenContent;
    Either<Refusal, RequestPlan> decision =
        isMalformed
            ? Either.left(Refusal.notRun(Verdict.Reason.BAD_REQUEST))
            : RequestGuard.plan(handler, request, environment.nowMillis() - age.unreadMillis());
    boolean keepReading;
    synchronized (this) {
      keepReading = isMalformed || takeBodyPart(first);
      if (isMalformed) {
        responseWriter.closeAfterResponse();
        client.requestBodyComplete(pipelined);
      }
      if (decision.isLeft()) {
        refuse(decision.getLeft());
      } else {
        plan = decision.get();
      }
    }
    if (decision.isRight()
        && !refuseIfTooLarge()
        && client.startOrDefer(pipelined, handler.mayRunConcurrently(plan))) {
      EventLoop.runOrDefer(this::dispatchIfWanted);
    }
    runDeferredActions();
    return keepReading;
  }

  /** Called before a response that was held completely is written. */
  synchronized void beforeHeldResponseWritten() {
    responseWriter.beforeHeldResponseWritten();
  }

  /** Starts a request whose start was deferred. */
  void startDeferred() {
    EventLoop.runOrDefer(this::dispatchIfWanted);
  }

  /** Forwards what is buffered of the response, if it may be forwarded now. */
  void forwardBufferedPart() {
    synchronized (this) {
      if (attempt != null) {
        attempt.bufferedPartToForward().ifPresent(part -> forwardPart(attempt, part));
      }
    }
    runDeferredActions();
  }

  private void dispatchIfWanted() {
    boolean isWanted;
    synchronized (this) {
      isWanted = stage == ExchangeStage.PENDING && !cancelIfClientGone();
    }
    if (isWanted) {
      RequestGuard.dispatch(this, handler);
    }
    runDeferredActions();
  }

  /** Cancels the request if its client is gone; the close event may only be handled later. */
  private boolean cancelIfClientGone() {
    boolean isGone = !client.connection().isOpen();
    if (isGone) {
      fail(refusalForStage(Verdict.Reason.CANCELLED), false);
    }
    return isGone;
  }

  private synchronized boolean refuseIfTooLarge() {
    boolean isTooLarge = body.exceeds(environment.maxBodyBytes().getAsLong(), request);
    if (isTooLarge) {
      fail(Refusal.notRun(Verdict.Reason.TOO_LARGE), false);
    }
    return isTooLarge;
  }

  boolean onBodyPart(HttpContent content) {
    boolean keepReading;
    synchronized (this) {
      keepReading = takeBodyPart(content);
      if (stage != ExchangeStage.DONE) {
        refuseIfTooLarge();
      }
      dispatchIfBodyBuffered();
    }
    runDeferredActions();
    return keepReading;
  }

  private boolean takeBodyPart(HttpContent content) {
    Buffer buffer = content.getContent();
    boolean last = content.isLast();
    if (last) {
      body.complete(HeaderFields.trailersOf(content));
      client.requestBodyComplete(pipelined);
    }
    if (stage == ExchangeStage.DONE) {
      return true;
    }
    if (attempt == null || attempt.origin() == null) {
      body.buffer(buffer);
      return last || !body.isFull();
    }
    body.noteForwarded(buffer);
    if (buffer.hasRemaining() || last) {
      attempt.sendMore(buffer, body, last);
    }
    if (attempt == null) {
      // Writing the part found the origin's connection broken, which ended the attempt.
      return true;
    }
    return last || attempt.origin().canWrite();
  }

  void runWhenBodyWanted(Runnable resume) {
    OriginConnection origin;
    synchronized (this) {
      if (stage != ExchangeStage.DONE && (attempt == null || attempt.origin() == null)) {
        bodyResumption = resume;
        return;
      }
      origin = stage == ExchangeStage.DONE ? null : attempt.origin();
    }
    if (origin == null) {
      resume.run();
    } else {
      origin.whenWritable(resume);
    }
  }

  void onMalformedBody() {
    synchronized (this) {
      responseWriter.closeAfterResponse();
      client.requestBodyComplete(pipelined);
      failWithoutRetry(Verdict.Reason.BAD_REQUEST);
    }
    runDeferredActions();
  }

  /** Closes the connection after an error that leaves no response to send. */
  void abortConnection() {
    client.abort(ConnectionEnd.FAULT);
  }

  /** Fails the request without another attempt. */
  void failWithoutRetry(Verdict.Reason reason) {
    synchronized (this) {
      fail(refusalForStage(reason), false);
    }
    runDeferredActions();
  }

  private Refusal refusalForStage(Verdict.Reason reason) {
    return stage.mayHaveReachedOrigin() ? Refusal.mayHaveRun(reason) : Refusal.notRun(reason);
  }

  /**
   * Starts the next attempt; called by the handler.
   *
   * @return false if the request has ended meanwhile
   */
  public boolean sendTo(ConnectionPool pool, String originId) {
    Attempt next;
    synchronized (this) {
      if (stage != ExchangeStage.PENDING) {
        return false;
      }
      stage = ExchangeStage.CONNECTING;
      next = new Attempt(this, pipelined, pool, originId, history.begin(originId));
      attempt = next;
    }
    next.begin();
    return true;
  }

  /**
   * Dispatches again once the body is buffered; called by the handler instead of {@link #sendTo}.
   */
  public void dispatchOnceBodyBuffered() {
    synchronized (this) {
      awaitsBufferedBody = true;
      dispatchIfBodyBuffered();
    }
    runDeferredActions();
  }

  private void dispatchIfBodyBuffered() {
    if (awaitsBufferedBody && stage == ExchangeStage.PENDING && body.isBuffered()) {
      awaitsBufferedBody = false;
      dispatchAgain = true;
    }
  }

  /** Fails the request with a refusal; called by the handler instead of {@link #sendTo}. */
  public void refuse(Refusal refusal) {
    synchronized (this) {
      fail(stage.mayHaveReachedOrigin() ? Refusal.mayHaveRun(refusal.reason()) : refusal, false);
    }
    runDeferredActions();
  }

  /** Ends the attempt, and the request unless a retry is permitted. */
  private void fail(Refusal refusal, boolean retryPermitted) {
    if (stage == ExchangeStage.DONE) {
      return;
    }
    ExchangeStage before = stage;
    Attempt ended = attempt;
    attempt = null;
    if (ended != null) {
      ended.abandon();
      environment.attemptLog().logFailure(ended.record(refusal.verdict(), body.received()));
      handler.attemptEnded(this, ended.originId(), refusal, ended.elapsedMicros());
    }
    history.recordFailure(refusal);
    if (before == ExchangeStage.RESPONDING) {
      isResponseTruncated = true;
      finish(refusal.verdict());
    } else if (retryPermitted && handler.mayRetry(this, refusal.verdict())) {
      environment.stats().retried(refusal.verdict());
      stage = ExchangeStage.PENDING;
      dispatchAgain = true;
    } else {
      writeFinalRefusal(refusal);
    }
  }

  private void writeFinalRefusal(Refusal refusal) {
    Refusal adjusted = history.adjustForEarlierAttempts(refusal);
    // The write may find the client's connection broken and fail the request again.
    finish(adjusted.verdict());
    responseWriter.writeRefusal(adjusted, plan, body.isClosePreferredToDiscard(request));
  }

  private void finish(Verdict verdict) {
    stage = ExchangeStage.DONE;
    outcome = verdict;
  }

  /** Runs the pending actions that must not run under this exchange's lock. */
  void runDeferredActions() {
    if (Thread.holdsLock(this)) {
      return;
    }
    Verdict ended;
    Runnable resume = null;
    boolean dispatch;
    synchronized (this) {
      ended = outcome;
      outcome = null;
      dispatch = dispatchAgain;
      dispatchAgain = false;
      if (stage == ExchangeStage.DONE || attempt != null && attempt.origin() != null) {
        resume = bodyResumption;
        bodyResumption = null;
      }
    }
    if (dispatch) {
      EventLoop.runOrDefer(this::dispatchIfWanted);
    }
    if (resume != null) {
      runWhenBodyWanted(resume);
    }
    if (ended != null) {
      if (isResponseTruncated) {
        client.responseTruncated(pipelined);
      } else {
        client.responseComplete(pipelined, responseWriter.isKeepAlive());
      }
      environment.exchangeEnded(this, handler.side(), ended);
      handler.requestEnded(this, ended);
    }
    client.cancelDeferred();
  }

  /** Called when the attempt has a connection; returns whether it is used. */
  boolean attemptConnected(Attempt connected, OriginConnection connection) {
    boolean isWanted;
    synchronized (this) {
      isWanted = isStillWanted(connected, ExchangeStage.CONNECTING);
      if (isWanted) {
        stage = connected.needsContinue(body) ? ExchangeStage.HEAD_SENT : ExchangeStage.SENT;
        history.recordSent();
        handler.addHeaders(this, connected.prepare().packet(), environment.nowMillis());
        connected.send(connection, body);
      }
    }
    runDeferredActions();
    return isWanted;
  }

  /** Checks again before sending: the conditions may have changed since the attempt was chosen. */
  private boolean isStillWanted(Attempt current, ExchangeStage expected) {
    if (attempt != current || stage != expected || cancelIfClientGone()) {
      return false;
    }
    Optional<Refusal> refusal = handler.refusalBeforeSending(plan, environment.nowMillis());
    refusal.ifPresent(each -> fail(each, false));
    return refusal.isEmpty();
  }

  void attemptFailed(Attempt failed, Refusal refusal) {
    synchronized (this) {
      if (attempt == failed) {
        fail(refusal, true);
      }
    }
    runDeferredActions();
  }

  void attemptReceivedInterimResponse(Attempt current, byte[] head) {
    synchronized (this) {
      if (attempt == current && !current.countInterimResponse(head)) {
        fail(refusalForStage(Verdict.Reason.BAD_ANSWER), true);
      } else if (attempt == current && stage == ExchangeStage.SENT) {
        if (handler.forwardsInterimResponse(plan, head)) {
          responseWriter.writeInterimResponse(head);
        }
      } else if (isStillWanted(current, ExchangeStage.HEAD_SENT)) {
        stage = ExchangeStage.SENT;
        current.sendBody(body);
      }
    }
    runDeferredActions();
  }

  /** Takes a part of the response; returns whether to keep reading. */
  boolean attemptReceivedPart(Attempt current, ResponsePart part) {
    boolean keepReading;
    synchronized (this) {
      keepReading = attempt != current || takeResponsePart(current, part);
    }
    runDeferredActions();
    return keepReading;
  }

  private boolean takeResponsePart(Attempt current, ResponsePart part) {
    if (part.first()) {
      Optional<Refusal> refusal = handler.refusalInResponse(this, part.head());
      if (refusal.isPresent()) {
        // A connection that delivered the response to another request is not reused.
        if (part.last() && refusal.get().fromOrigin()) {
          current.detach();
        }
        fail(refusal.get(), true);
        return true;
      }
    }
    Optional<ResponsePart> ready = current.partToForward(part);
    if (ready.isPresent()) {
      return forwardPart(current, ready.get());
    }
    if (current.isResponseTooLong()) {
      handler.onLongResponse(plan);
      fail(Refusal.mayHaveRun(Verdict.Reason.BAD_ANSWER), false);
      return true;
    }
    return current.mayBufferMore();
  }

  private boolean forwardPart(Attempt current, ResponsePart part) {
    progress.onPart(part, environment.nowMillis());
    if (progress.isLong()) {
      handler.onLongResponse(plan);
    }
    stage = ExchangeStage.RESPONDING;
    responseWriter.writePart(part, plan);
    if (attempt != current) {
      // Writing the part found the client's connection broken, which ended the request.
      return true;
    }
    if (part.last()) {
      current.detach();
      attempt = null;
      handler.attemptEnded(this, current.originId(), null, current.elapsedMicros());
      finish(new Verdict.Completed());
    }
    return part.last() || responseWriter.canWrite();
  }
}
