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
final class AnswerTurn {
  private final CallerConnection connection;
  private final HttpHeader request;
  private final Exchange exchange;
  private final Deque<Object> held = new ArrayDeque<>();
  private final List<Runnable> whenCurrent = new ArrayList<>();
  private long heldBytes;
  private boolean current;
  private boolean runsBesideOthers;
  private boolean waitsToStart;
  private boolean ended;
  private boolean keepAlive;
  private boolean cutOff;
  private boolean bodyComplete;

  AnswerTurn(CallerConnection connection, HttpHeader request, Exchange exchange) {
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
  boolean canTakeMore() {
    return connection.canTakeMore(this);
  }

  /** Runs the action once more can be written. */
  void whenTakesMore(Runnable action) {
    if (!connection.postpone(this, action)) {
      connection.whenWritable(action);
    }
  }

  /** Whether what is written goes out at once. */
  boolean isCurrent() {
    synchronized (connection) {
      return current;
    }
  }

  /**
   * Makes the answer the last of its connection, if no request has been read behind its own.
   *
   * @return whether it is to say so
   */
  boolean endsConnection() {
    return connection.endsWith(this);
  }

  /** The answer says that it is the last: no request behind its own is begun any more. */
  void announceLast() {
    connection.announceLast();
  }

  /** Whether a request may begin behind this one: earlier callers send one at a time. */
  boolean mayBeFollowed() {
    return request.getProtocol() == Protocol.HTTP_1_1;
  }

  HttpHeader request() {
    return request;
  }

  Exchange exchange() {
    return exchange;
  }

  void makeCurrent() {
    current = true;
  }

  void hold(Object message, long bytes) {
    held.add(message);
    heldBytes += bytes;
  }

  boolean isHolding() {
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
    whenCurrent.add(action);
  }

  List<Runnable> takeWaiters() {
    List<Runnable> taken = List.copyOf(whenCurrent);
    whenCurrent.clear();
    return taken;
  }

  void runsBesideOthers(boolean mayRun) {
    runsBesideOthers = mayRun;
  }

  /** Whether another request may run at the same time. */
  boolean allowsOthersBeside() {
    return ended || runsBesideOthers;
  }

  /** Whether all of some allow it. */
  static boolean allAllowOthersBeside(Iterable<AnswerTurn> turns) {
    for (AnswerTurn turn : turns) {
      if (!turn.allowsOthersBeside()) {
        return false;
      }
    }
    return true;
  }

  void waitToStart() {
    waitsToStart = true;
  }

  /** Whether its request waits for the turn; asked once. */
  boolean takeWaitsToStart() {
    boolean waited = waitsToStart;
    waitsToStart = false;
    return waited;
  }

  void end(boolean keepAliveAfter) {
    ended = true;
    keepAlive = keepAliveAfter;
  }

  void cutOff() {
    ended = true;
    cutOff = true;
  }

  boolean isEnded() {
    return ended;
  }

  boolean isKeepAlive() {
    return keepAlive;
  }

  boolean isCutOff() {
    return cutOff;
  }

  void completeBody() {
    bodyComplete = true;
  }

  boolean isBodyComplete() {
    return bodyComplete;
  }
}
