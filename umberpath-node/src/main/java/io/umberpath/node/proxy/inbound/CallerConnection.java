package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.origin.OriginConnection;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.attributes.AttributeBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;

/**
 * One connection of a caller or another node: carries one exchange at a time. A pipelined request
 * waits until the answer before it is complete. Thread-safe.
 */
final class CallerConnection {
  private static final Attribute<CallerConnection> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.callerConnection");

  /** What the connection is doing with a request. */
  private enum Mode {
    IDLE,
    EXCHANGE,
    /** The answer is complete but the request's body is not; the rest is read and dropped. */
    DISCARD
  }

  private final Connection<?> connection;
  private final LongSupplier clockMillis;
  private Mode mode = Mode.IDLE;
  private Exchange exchange;
  private HttpHeader request;
  private boolean closeAfterAnswer;
  private FilterChainContext suspended;
  private volatile long modeSinceMillis;

  CallerConnection(Connection<?> connection, LongSupplier clockMillis) {
    this.connection = connection;
    this.clockMillis = clockMillis;
    this.modeSinceMillis = clockMillis.getAsLong();
    ATTRIBUTE.set(connection, this);
  }

  static CallerConnection of(Connection<?> connection) {
    return ATTRIBUTE.get(connection);
  }

  Connection<?> connection() {
    return connection;
  }

  /** The exchange this content belongs to; null if it is to be dropped. */
  synchronized Exchange exchangeOf(HttpContent content) {
    return mode == Mode.EXCHANGE && request == content.getHttpHeader() ? exchange : null;
  }

  /**
   * Lets a request whose head has just arrived wait until the answer before it is complete; it is
   * then seen again.
   *
   * @return the action that waits, or null if the request may begin now
   */
  synchronized NextAction awaitTurn(FilterChainContext context) {
    if (mode == Mode.IDLE && !closeAfterAnswer) {
      return null;
    }
    NextAction action = context.getSuspendAction();
    context.suspend();
    suspended = context;
    return action;
  }

  synchronized boolean isDiscarding(HttpContent content) {
    return mode == Mode.DISCARD && request == content.getHttpHeader();
  }

  synchronized void begin(Exchange newExchange, HttpHeader newRequest) {
    exchange = newExchange;
    request = newRequest;
    change(Mode.EXCHANGE);
  }

  /** Stops reading until {@link #resume} is called with the same context. */
  NextAction suspend(FilterChainContext context) {
    NextAction action = context.getSuspendAction();
    context.suspend();
    synchronized (this) {
      suspended = context;
    }
    return action;
  }

  /** Reads on after {@link #suspend}; nothing if that context goes on already. */
  void resume(FilterChainContext context) {
    synchronized (this) {
      if (suspended != context) {
        return;
      }
      suspended = null;
    }
    context.resume(context.getStopAction());
  }

  /**
   * The answer has been written whole.
   *
   * @param keepAlive whether the connection may carry another request
   * @param bodyComplete whether the request has been read whole
   */
  void answered(boolean keepAlive, boolean bodyComplete) {
    FilterChainContext waiting = null;
    synchronized (this) {
      closeAfterAnswer = !keepAlive;
      exchange = null;
      if (bodyComplete && keepAlive) {
        change(Mode.IDLE);
        waiting = suspended;
        suspended = null;
      } else if (!bodyComplete) {
        change(Mode.DISCARD);
        waiting = suspended;
        suspended = null;
      }
    }
    if (bodyComplete && !keepAlive) {
      connection.closeSilently();
    } else if (waiting != null) {
      // Not a pause of this request's body, whose exchange resumes it, but the next request.
      waiting.resume();
    }
  }

  /** Takes a piece of a body nobody wants. */
  void discard(boolean last) {
    boolean close;
    synchronized (this) {
      close = last && closeAfterAnswer;
      if (last && !close) {
        change(Mode.IDLE);
      }
    }
    if (close) {
      connection.closeSilently();
    }
  }

  void abort() {
    connection.terminateSilently();
  }

  /** The peer is gone. */
  void closed() {
    Exchange current;
    synchronized (this) {
      current = exchange;
      exchange = null;
    }
    if (current != null) {
      current.onCallerGone();
    }
  }

  /** Closes the connection if it has had no request, or dropped a body, for too long. */
  void expire(long idleMillis, long discardMillis) {
    long age = clockMillis.getAsLong() - modeSinceMillis;
    boolean expired;
    synchronized (this) {
      expired =
          mode == Mode.IDLE && age >= idleMillis || mode == Mode.DISCARD && age >= discardMillis;
    }
    if (expired) {
      connection.closeSilently();
    }
  }

  /** Closes the connection if no request is under way. */
  void closeIfIdle() {
    boolean idle;
    synchronized (this) {
      idle = mode == Mode.IDLE;
    }
    if (idle) {
      connection.closeSilently();
    }
  }

  void whenWritable(Runnable action) {
    connection.notifyCanWrite(new OriginConnection.WhenWritable(action));
  }

  private void change(Mode newMode) {
    mode = newMode;
    modeSinceMillis = clockMillis.getAsLong();
  }
}
