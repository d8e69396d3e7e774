package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.origin.OwnTurn;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpBrokenContent;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;

/** Hands decoded requests of one listener to their exchanges. */
public final class InboundFilter extends BaseFilter {
  private final RequestHandler handler;
  private final ExchangeEnvironment environment;
  private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
  private final LongAdder accepted = new LongAdder();
  private volatile boolean ending;

  /** Creates the last filter of a listener. */
  public InboundFilter(RequestHandler handler, ExchangeEnvironment environment) {
    this.handler = handler;
    this.environment = environment;
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) {
    CallerConnection caller =
        new CallerConnection(context.getConnection(), handler.side(), environment);
    connections.add(caller);
    accepted.increment();
    if (ending) {
      caller.endAtRest();
    }
    return context.getStopAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpContent content = context.getMessage();
    CallerConnection caller = CallerConnection.of(context.getConnection());
    if (caller.isEnded()) {
      return context.getStopAction();
    }
    Exchange exchange = caller.exchangeOf(content);
    if (exchange != null) {
      return bodyPart(context, caller, exchange, content);
    }
    if (caller.isDiscarding(content)) {
      return discard(context, caller, content);
    }
    NextAction wait = caller.awaitRoom(context);
    return wait != null ? wait : begin(context, caller, content);
  }

  private NextAction begin(
      FilterChainContext context, CallerConnection caller, HttpContent content) {
    HttpRequestPacket request = (HttpRequestPacket) content.getHttpHeader();
    Exchange exchange = new Exchange(caller, request, handler, environment);
    boolean readOn = RequestFaults.guard(exchange, () -> exchange.begin(content));
    return continueOrSuspend(context, caller, exchange, readOn);
  }

  private static NextAction bodyPart(
      FilterChainContext context, CallerConnection caller, Exchange exchange, HttpContent content) {
    if (content instanceof HttpBrokenContent) {
      exchange.onBrokenBody();
      return context.getStopAction();
    }
    boolean readOn = RequestFaults.guard(exchange, () -> exchange.onBodyPart(content));
    return continueOrSuspend(context, caller, exchange, readOn);
  }

  private static NextAction continueOrSuspend(
      FilterChainContext context, CallerConnection caller, Exchange exchange, boolean readOn) {
    if (readOn) {
      return context.getStopAction();
    }
    NextAction action = caller.suspend(context);
    exchange.whenBodyWanted(() -> caller.resume(context));
    return action;
  }

  private static NextAction discard(
      FilterChainContext context, CallerConnection caller, HttpContent content) {
    if (content instanceof HttpBrokenContent) {
      caller.abort(ConnectionEnd.BROKEN_ANSWER);
    } else {
      caller.discard(content.isLast());
    }
    return context.getStopAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    CallerConnection caller = CallerConnection.of(context.getConnection());
    if (caller != null) {
      connections.remove(caller);
      OwnTurn.run(context.getConnection(), caller::closed);
    }
    return context.getStopAction();
  }

  /**
   * Ends connections that have been idle, and closes those whose peers do not end a refused body or
   * the connection, for too long.
   */
  public void expire(long idleMillis, long lingerMillis) {
    connections.forEach(caller -> caller.expire(idleMillis, lingerMillis));
  }

  /** Ends each connection, also later ones, as soon as all that was read from it is answered. */
  public void endConnections() {
    ending = true;
    connections.forEach(CallerConnection::endAtRest);
  }

  /** Connections accepted so far. */
  public long accepted() {
    return accepted.sum();
  }

  /** Connections that are open. */
  public int open() {
    return connections.size();
  }

  /** Bytes of answers that no socket has taken yet. */
  public long unwrittenBytes() {
    return connections.stream().mapToLong(CallerConnection::unwrittenBytes).sum();
  }
}
