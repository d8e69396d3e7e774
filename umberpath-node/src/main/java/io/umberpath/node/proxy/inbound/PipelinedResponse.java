package io.umberpath.node.proxy.inbound;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.Protocol;

/**
 * The response to one request of a client connection, in the order of the requests (HTTP/1.1
 * pipelining). Messages written before the responses ahead of it are complete are held. Guarded by
 * the connection's lock.
 */
final class PipelinedResponse {
  private final ClientConnection connection;
  private final HttpHeader request;
  private final Exchange exchange;
  private final Deque<Object> held = new ArrayDeque<>();
  private final List<Runnable> waiters = new ArrayList<>();
  private long heldBytes;
  private int bufferedBytes;
  private boolean isCurrent;
  private boolean isStarted;
  private boolean isStreaming;
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
   * Writes a message, or holds it until this response is the current one.
   *
   * @param bytes memory accounted for the message while it is held, bytes
   */
  void write(Object message, long bytes) {
    if (!connection.hold(this, message, bytes)) {
      connection.connection().write(message, null);
    }
  }

  /**
   * Whether more can be written without exceeding the limits of the socket queue or held messages.
   */
  boolean canWrite() {
    return connection.canWrite(this);
  }

  /** Runs the action once more can be written. */
  void runWhenWritable(Runnable action) {
    if (!connection.postponeUntilCurrent(this, action)) {
      connection.runWhenWritable(action);
    }
  }

  /**
   * Allows the response to be written before it is complete, unless a request behind it has been
   * started: failing later ends the connection. From then on no request behind it is started.
   *
   * @return whether it may be written
   */
  boolean tryStartStreaming() {
    return connection.tryStartStreaming(this);
  }

  /** Sets how much of the response is buffered before it is written, bytes. */
  void setBufferedBytes(int bytes) {
    connection.setBufferedBytes(this, bytes);
  }

  /** Whether messages are written at once instead of being held. */
  boolean isCurrent() {
    synchronized (connection) {
      return isCurrent;
    }
  }

  /**
   * Makes this the last response of its connection, unless another request has been read behind its
   * own.
   *
   * @return whether the response must announce that the connection closes
   */
  boolean tryMakeLast() {
    return connection.tryMakeLast(this);
  }

  /** Called when the response announces that the connection closes: no later request is begun. */
  void announceLast() {
    connection.announceLast();
  }

  /**
   * Whether the next request may begin before this response is complete: HTTP/1.0 clients do not
   * pipeline.
   */
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

  /**
   * Records the size of the buffered part.
   *
   * @return by how much it has grown, bytes
   */
  int recordBufferedBytes(int bytes) {
    int growth = bytes - bufferedBytes;
    bufferedBytes = bytes;
    return growth;
  }

  void startStreaming() {
    isStreaming = true;
  }

  /** Whether an incomplete response has been written in part. */
  boolean isStreaming() {
    return isStreaming && !ended;
  }

  void markStarted() {
    isStartDeferred = false;
    isStarted = true;
  }

  /** Whether the request may have been sent to an origin, or may still be. */
  boolean mayReachOrigin() {
    return isStarted && !(ended && exchange.history().count() == 0);
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

  /** Whether other requests of the connection may run at the same time. */
  boolean allowsConcurrency() {
    return ended || isConcurrent;
  }

  void deferStart() {
    isStartDeferred = true;
  }

  boolean isStartDeferred() {
    return isStartDeferred;
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
