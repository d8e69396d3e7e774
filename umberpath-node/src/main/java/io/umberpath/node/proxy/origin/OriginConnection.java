package io.umberpath.node.proxy.origin;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.AnswerHead;
import io.umberpath.node.proxy.http.HeaderFields;
import io.umberpath.node.proxy.loop.EventLoop;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.attributes.AttributeBuilder;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.memory.Buffers;

/**
 * One client connection; carries one attempt at a time and is never reused after any doubt about
 * framing. Thread-safe.
 */
public final class OriginConnection {
  private static final Attribute<OriginConnection> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.originConnection");

  private enum Stage {
    IDLE,
    AWAITING_HEAD,
    READING_BODY,
    BROKEN
  }

  private final Connection<?> connection;
  private final Consumer<OriginConnection> releaseHandler;
  private final Consumer<OriginConnection> onClosed;
  private final AtomicBoolean closeHandled = new AtomicBoolean();
  private volatile Stage stage = Stage.IDLE;
  private volatile AnswerListener listener;
  private volatile boolean requestComplete;
  private volatile boolean reusableAfterResponse;
  private volatile AnswerHead closeDelimitedHead;
  private volatile long idleSinceMillis;
  private volatile boolean hasBeenIdle;

  /**
   * Wraps a connection that has just been opened.
   *
   * @param releaseHandler takes it back when an attempt has left it reusable
   * @param onClosed hears once that it is gone
   */
  public OriginConnection(
      Connection<?> connection,
      Consumer<OriginConnection> releaseHandler,
      Consumer<OriginConnection> onClosed) {
    this.connection = connection;
    this.releaseHandler = releaseHandler;
    this.onClosed = onClosed;
    ATTRIBUTE.set(connection, this);
  }

  /** The wrapper of a connection, or null before it is wrapped. */
  public static OriginConnection of(Connection<?> connection) {
    return ATTRIBUTE.get(connection);
  }

  /** Who takes it back. */
  public Consumer<OriginConnection> releaseHandler() {
    return releaseHandler;
  }

  /** Whether it can carry another attempt. */
  public boolean isIdle() {
    return stage == Stage.IDLE && connection.isOpen();
  }

  /** Runs work on a selector thread, at once if that has read what has arrived. */
  public void runOrDefer(Runnable work) {
    if (EventLoop.isSelectorThread()) {
      EventLoop.runOrDefer(work);
    } else {
      OwnTurn.run(connection, () -> EventLoop.runOrDefer(work));
    }
  }

  /** Begins an attempt: answers go to the listener from now on. */
  public synchronized void begin(AnswerListener newListener) {
    listener = newListener;
    requestComplete = false;
    reusableAfterResponse = false;
    closeDelimitedHead = null;
    stage = Stage.AWAITING_HEAD;
  }

  /**
   * Writes a part of the request.
   *
   * @param last whether the request is complete with it
   */
  public void write(HttpPacket packet, boolean last) {
    if (last) {
      requestComplete = true;
    }
    connection.write(packet, new WriteFailure<>());
  }

  /** Whether more may be written without queueing beyond the bound. */
  public boolean canWrite() {
    return connection.canWrite();
  }

  /** Runs the action when {@link #canWrite} holds again or the connection is gone. */
  public void whenWritable(Runnable action) {
    connection.notifyCanWrite(new WhenWritable(connection, action));
  }

  /** Gives the attempt up: the connection is closed and its listener hears nothing more. */
  public void abandon() {
    synchronized (this) {
      listener = null;
      stage = Stage.BROKEN;
    }
    connection.terminateSilently();
  }

  /** Milliseconds on the pool's clock since when it has been idle. */
  public long idleSinceMillis() {
    return idleSinceMillis;
  }

  /** Notes when it became idle. */
  public void markIdle(long nowMillis) {
    idleSinceMillis = nowMillis;
    hasBeenIdle = true;
  }

  /** Whether it has been idle: its peer may end it then at any time. */
  public boolean hasRested() {
    return hasBeenIdle;
  }

  /** Closes an idle connection. */
  public void close() {
    connection.closeSilently();
  }

  boolean isAwaitingHead() {
    return stage == Stage.AWAITING_HEAD;
  }

  boolean isReadingBody() {
    return stage == Stage.READING_BODY;
  }

  void onHeadDecoded() {
    stage = Stage.READING_BODY;
  }

  /** Who hears of the attempt under way; null if there is none. */
  public AnswerListener listener() {
    return listener;
  }

  /** The whole answer has been decoded. */
  synchronized void completeResponse(boolean keepAlive) {
    listener = null;
    reusableAfterResponse = keepAlive && requestComplete;
    stage = reusableAfterResponse ? Stage.IDLE : Stage.BROKEN;
  }

  /** Whether the finished attempt left the connection in perfect order. */
  boolean isReusable() {
    return reusableAfterResponse && isIdle();
  }

  void fail(Verdict.Reason reason) {
    AnswerListener current;
    synchronized (this) {
      current = listener;
      listener = null;
      stage = Stage.BROKEN;
    }
    connection.terminateSilently();
    if (current != null) {
      current.onBroken(reason);
    }
  }

  /** The answer has no stated length: it is whole if the peer closes in good order. */
  void setCloseDelimitedHead(AnswerHead head) {
    closeDelimitedHead = head;
  }

  /**
   * The connection is gone; only the first call counts. Its owner hears at once, so that another
   * may be opened in its place, and the attempt under way in a turn of its own.
   *
   * @param isOrderly whether the peer ended it, and not a fault
   */
  public void onConnectionClosed(boolean isOrderly) {
    if (!closeHandled.compareAndSet(false, true)) {
      return;
    }
    onClosed.accept(this);
    OwnTurn.run(connection, () -> endAttempt(isOrderly));
  }

  private void endAttempt(boolean isOrderly) {
    AnswerHead head = closeDelimitedHead;
    AnswerListener current = listener;
    if (head != null && current != null && isOrderly) {
      completeResponse(false);
      current.onAnswerPart(
          new AnswerPart(head, false, Buffers.EMPTY_BUFFER, true, HeaderFields.NONE));
    } else {
      fail(Verdict.Reason.CONNECTION_LOST);
    }
  }

  private final class WriteFailure<M, L> extends EmptyCompletionHandler<WriteResult<M, L>> {
    @Override
    public void failed(Throwable error) {
      OwnTurn.run(connection, () -> fail(Verdict.Reason.CONNECTION_LOST));
    }
  }

  /** Adapts an action to Grizzly's write handler. */
  public record WhenWritable(Connection<?> connection, Runnable action) implements WriteHandler {
    @Override
    public void onWritePossible() {
      action.run();
    }

    @Override
    public void onError(Throwable error) {
      OwnTurn.run(connection, action);
    }
  }
}
