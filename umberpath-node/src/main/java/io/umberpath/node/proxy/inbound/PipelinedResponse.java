package io.umberpath.node.proxy.inbound;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.Protocol;

/**
 * The place of one answer among the answers of its caller's connection. Answers go out in the order
 * of their requests: what is written before its turn is held. The connection's lock guards its
 * state.
 */
final class PipelinedResponse {
  private final ClientConnection connection;
  private final HttpHeader request;
  private final Exchange exchange;
  private final Deque<Object> held = new ArrayDeque<>();
  private final List<Runnable> waiters = new ArrayList<>();
  private long heldBytes;
  private boolean isCurrent;
  private boolean isConcurrent;
  private boolean isStartDeferred;
  private boolean ended;
  private boolean keepAlive;
  private boolean isTruncated;
  private boolean bodyComplete;

  PipelinedResponse(ClientConnection connection, HttpHeader request, Exchange exchange) {
    this.connection = connection;
    this.request = request;
    this.exchange = exchange;
  }

  /**
   * Writes a message, or holds it until the turn has come.
   *
   * @param bytes what holding it costs, bytes
   */
  void write(Object message, long bytes) {
    if (!connection.hold(this, message, bytes)) {
      connection.connection().write(message, null);
    }
  }

  /** Whether more can be written without being held beyond bounds. */
  boolean canWrite() {
    return connection.canWrite(this);
  }

  /** Runs the action once more can be written. */
  void runWhenWritable(Runnable action) {
    if (!connection.postponeUntilCurrent(this, action)) {
      connection.runWhenWritable(action);
    }
  }

  /** Whether what is written goes out at once. */
  boolean isCurrent() {
    synchronized (connection) {
      return isCurrent;
    }
  }

  /**
   * Makes the answer the last of its connection, if no request has been read behind its own.
   *
   * @return whether it is to say so
   */
  boolean tryMakeLast() {
    return connection.tryMakeLast(this);
  }

  /** The answer says that it is the last: no request behind its own is begun any more. */
  void announceLast() {
    connection.announceLast();
  }

  /** Whether a request may begin behind this one: earlier callers send one at a time. */
  boolean allowsPipelining() {
    return request.getProtocol() == Protocol.HTTP_1_1;
  }

  HttpHeader request() {
    return request;
  }

  Exchange exchange() {
    return exchange;
  }

  void makeCurrent() {
    isCurrent = true;
  }

  void hold(Object message, long bytes) {
    held.add(message);
    heldBytes += bytes;
  }

  boolean hasHeldMessages() {
    return !held.isEmpty();
  }

  long heldBytes() {
    return heldBytes;
  }

  List<Object> takeHeld() {
    List<Object> taken = List.copyOf(held);
    held.clear();
    heldBytes = 0;
    return taken;
  }

  void addWaiter(Runnable action) {
    waiters.add(action);
  }

  List<Runnable> takeWaiters() {
    List<Runnable> taken = List.copyOf(waiters);
    waiters.clear();
    return taken;
  }

  void setConcurrent(boolean mayRunConcurrently) {
    isConcurrent = mayRunConcurrently;
  }

  /** Whether another request may run at the same time. */
  boolean allowsConcurrency() {
    return ended || isConcurrent;
  }

  /** Whether all of some allow it. */
  static boolean allAllowConcurrency(Iterable<PipelinedResponse> responses) {
    for (PipelinedResponse response : responses) {
      if (!response.allowsConcurrency()) {
        return false;
      }
    }
    return true;
  }

  void deferStart() {
    isStartDeferred = true;
  }

  /** Whether its request waits for the turn; asked once. */
  boolean takeDeferredStart() {
    boolean wasDeferred = isStartDeferred;
    isStartDeferred = false;
    return wasDeferred;
  }

  void end(boolean keepAliveAfter) {
    ended = true;
    keepAlive = keepAliveAfter;
  }

  void truncate() {
    ended = true;
    isTruncated = true;
  }

  boolean isEnded() {
    return ended;
  }

  boolean isKeepAlive() {
    return keepAlive;
  }

  boolean isTruncated() {
    return isTruncated;
  }

  void completeBody() {
    bodyComplete = true;
  }

  boolean isBodyComplete() {
    return bodyComplete;
  }
}
