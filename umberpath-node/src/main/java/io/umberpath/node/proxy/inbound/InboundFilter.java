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
  private final Set<ClientConnection> connections = ConcurrentHashMap.newKeySet();
  private final LongAdder accepted = new LongAdder();
  private volatile boolean isEnding;

  /** Creates the last filter of a listener. */
  public InboundFilter(RequestHandler handler, ExchangeEnvironment environment) {
    this.handler = handler;
    this.environment = environment;
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) {
    ClientConnection client =
        new ClientConnection(context.getConnection(), handler.side(), environment);
    connections.add(client);
    accepted.increment();
    if (isEnding) {
      client.endWhenIdle();
    }
    return context.getStopAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpContent content = context.getMessage();
    ClientConnection client = ClientConnection.of(context.getConnection());
    if (client.isEnded()) {
      return context.getStopAction();
    }
    Exchange exchange = client.exchangeOf(content);
    if (exchange != null) {
      return handleBodyPart(context, client, exchange, content);
    }
    if (client.isDiscarding(content)) {
      return discard(context, client, content);
    }
    NextAction suspension = client.suspendIfFull(context);
    return suspension != null ? suspension : begin(context, client, content);
  }

  private NextAction begin(
      FilterChainContext context, ClientConnection client, HttpContent content) {
    HttpRequestPacket request = (HttpRequestPacket) content.getHttpHeader();
    Exchange exchange = new Exchange(client, request, handler, environment);
    boolean readOn = RequestGuard.guard(exchange, () -> exchange.begin(content));
    return continueOrSuspend(context, client, exchange, readOn);
  }

  private static NextAction handleBodyPart(
      FilterChainContext context, ClientConnection client, Exchange exchange, HttpContent content) {
    if (content instanceof HttpBrokenContent) {
      exchange.onMalformedBody();
      return context.getStopAction();
    }
    boolean readOn = RequestGuard.guard(exchange, () -> exchange.onBodyPart(content));
    return continueOrSuspend(context, client, exchange, readOn);
  }

  private static NextAction continueOrSuspend(
      FilterChainContext context, ClientConnection client, Exchange exchange, boolean readOn) {
    if (readOn) {
      return context.getStopAction();
    }
    NextAction action = client.suspend(context);
    exchange.runWhenBodyWanted(() -> client.resume(context));
    return action;
  }

  private static NextAction discard(
      FilterChainContext context, ClientConnection client, HttpContent content) {
    if (content instanceof HttpBrokenContent) {
      client.abort(ConnectionEnd.BROKEN_ANSWER);
    } else {
      client.discard(content.isLast());
    }
    return context.getStopAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    ClientConnection client = ClientConnection.of(context.getConnection());
    if (client != null) {
      connections.remove(client);
      OwnTurn.run(context.getConnection(), client::onClosed);
    }
    return context.getStopAction();
  }

  /**
   * Ends connections that have been idle, and closes those whose peers do not end a refused body or
   * the connection, for too long.
   */
  public void expire(long idleMillis, long lingerMillis) {
    connections.forEach(client -> client.expire(idleMillis, lingerMillis));
  }

  /** Ends each connection, also later ones, as soon as all that was read from it is answered. */
  public void endConnections() {
    isEnding = true;
    connections.forEach(ClientConnection::endWhenIdle);
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
    return connections.stream().mapToLong(ClientConnection::unwrittenBytes).sum();
  }
}
