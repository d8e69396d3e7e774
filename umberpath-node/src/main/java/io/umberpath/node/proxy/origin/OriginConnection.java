package io.umberpath.node.proxy.origin;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.HeaderFields;
import io.umberpath.node.proxy.http.ResponseHead;
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
 * A connection to a node or backend. It carries one attempt at a time, and is not reused if the
 * framing of a message on it is in doubt. Thread-safe.
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
  private volatile ResponseListener listener;
  private volatile boolean requestComplete;
  private volatile boolean reusableAfterResponse;
  private volatile ResponseHead closeDelimitedHead;
  private volatile long idleSinceMillis;
  private volatile boolean hasBeenIdle;

  /**
   * Wraps a newly opened connection.
   *
   * @param releaseHandler takes the connection back after an attempt that left it reusable
   * @param onClosed called once when the connection has closed
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

  /** Returns the wrapper of a connection, or null if it is not wrapped yet. */
  public static OriginConnection of(Connection<?> connection) {
    return ATTRIBUTE.get(connection);
  }

  /** The handler that takes the connection back for reuse. */
  public Consumer<OriginConnection> releaseHandler() {
    return releaseHandler;
  }

  /** Whether the connection is open and has no attempt in flight. */
  public boolean isIdle() {
    return stage == Stage.IDLE && connection.isOpen();
  }

  /** Whether the connection is open, as far as this node has read. */
  public boolean isOpen() {
    return connection.isOpen();
  }

  /**
   * Runs work on a selector thread, immediately if that thread has already read all received data.
   */
  public void runOrDefer(Runnable work) {
    if (EventLoop.isSelectorThread()) {
      EventLoop.runOrDefer(work);
    } else {
      SelectorTasks.runDeferred(connection, () -> EventLoop.runOrDefer(work));
    }
  }

  /** Begins an attempt whose response events go to the listener. */
  public synchronized void beginAttempt(ResponseListener newListener) {
    listener = newListener;
    requestComplete = false;
    reusableAfterResponse = false;
    closeDelimitedHead = null;
    stage = Stage.AWAITING_HEAD;
  }

  /**
   * Writes a part of the request.
   *
   * @param last whether this part completes the request
   */
  public void write(HttpPacket packet, boolean last) {
    if (last) {
      requestComplete = true;
    }
    connection.write(packet, new WriteFailure<>());
  }

  /** Whether more can be written without exceeding the limit of the write queue. */
  public boolean canWrite() {
    return connection.canWrite();
  }

  /** Runs the action when {@link #canWrite} becomes true again, or the connection has closed. */
  public void whenWritable(Runnable action) {
    connection.notifyCanWrite(new WhenWritable(connection, action));
  }

  /** Abandons the attempt: closes the connection and stops calling its listener. */
  public void abandon() {
    synchronized (this) {
      listener = null;
      stage = Stage.BROKEN;
    }
    connection.terminateSilently();
  }

  /** Time on the pool's clock when the connection became idle, milliseconds. */
  public long idleSinceMillis() {
    return idleSinceMillis;
  }

  /** Records the time when the connection became idle. */
  public void markIdle(long nowMillis) {
    idleSinceMillis = nowMillis;
    hasBeenIdle = true;
  }

  /**
   * Whether the connection has ever been idle; the peer may close an idle connection at any time.
   */
  public boolean hasBeenIdle() {
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

  /** Listener of the attempt in flight; null if there is none. */
  public ResponseListener listener() {
    return listener;
  }

  /** Ends the attempt after its complete response has been decoded. */
  synchronized void completeResponse(boolean keepAlive) {
    listener = null;
    reusableAfterResponse = keepAlive && requestComplete;
    stage = reusableAfterResponse ? Stage.IDLE : Stage.BROKEN;
  }

  /** Whether the finished attempt left the connection usable for another one. */
  boolean isReusable() {
    return reusableAfterResponse && isIdle();
  }

  void fail(Verdict.Reason reason) {
    ResponseListener current;
    synchronized (this) {
      current = listener;
      listener = null;
      stage = Stage.BROKEN;
    }
    connection.terminateSilently();
    if (current != null) {
      current.onFailure(reason);
    }
  }

  /**
   * Marks the response as delimited by the end of the connection: it is complete if the peer closes
   * in an orderly way.
   */
  void setCloseDelimitedHead(ResponseHead head) {
    closeDelimitedHead = head;
  }

  /**
   * Handles the end of the connection; calls after the first have no effect. The pool is notified
   * immediately, so that it can open a replacement, and the attempt in flight is ended in a
   * separate task of the selector thread.
   *
   * @param isOrderly whether the peer closed the connection, as opposed to an error
   */
  public void onConnectionClosed(boolean isOrderly) {
    if (!closeHandled.compareAndSet(false, true)) {
      return;
    }
    onClosed.accept(this);
    SelectorTasks.runDeferred(connection, () -> endAttempt(isOrderly));
  }

  private void endAttempt(boolean isOrderly) {
    ResponseHead head = closeDelimitedHead;
    ResponseListener current = listener;
    if (head != null && current != null && isOrderly) {
      completeResponse(false);
      current.onResponsePart(
          new ResponsePart(head, false, Buffers.EMPTY_BUFFER, true, HeaderFields.NONE));
    } else {
      fail(Verdict.Reason.CONNECTION_LOST);
    }
  }

  private final class WriteFailure<M, L> extends EmptyCompletionHandler<WriteResult<M, L>> {
    @Override
    public void failed(Throwable error) {
      SelectorTasks.runDeferred(connection, () -> fail(Verdict.Reason.CONNECTION_LOST));
    }
  }

  /** Runs an action when Grizzly reports that the connection is writable or has failed. */
  public record WhenWritable(Connection<?> connection, Runnable action) implements WriteHandler {
    @Override
    public void onWritePossible() {
      action.run();
    }

    @Override
    public void onError(Throwable error) {
      SelectorTasks.runDeferred(connection, action);
    }
  }
}
