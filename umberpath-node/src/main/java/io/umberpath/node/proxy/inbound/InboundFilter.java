package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.origin.SelectorTasks;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpBrokenContent;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;

/** The last filter of a listener: dispatches decoded requests to their exchanges. */
public final class InboundFilter extends BaseFilter {
  private final RequestHandler handler;
  private final ExchangeEnvironment environment;
  private final Set<ClientConnection> connections = ConcurrentHashMap.newKeySet();
  private final LongAdder accepted = new LongAdder();
  private volatile boolean isEnding;

  /** Creates the filter of one listener. */
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
    boolean keepReading = RequestGuard.guard(exchange, () -> exchange.begin(content));
    return continueOrSuspend(context, client, exchange, keepReading);
  }

  private static NextAction handleBodyPart(
      FilterChainContext context, ClientConnection client, Exchange exchange, HttpContent content) {
    if (content instanceof HttpBrokenContent) {
      exchange.onMalformedBody();
      return context.getStopAction();
    }
    boolean keepReading = RequestGuard.guard(exchange, () -> exchange.onBodyPart(content));
    return continueOrSuspend(context, client, exchange, keepReading);
  }

  private static NextAction continueOrSuspend(
      FilterChainContext context, ClientConnection client, Exchange exchange, boolean keepReading) {
    if (keepReading) {
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
      SelectorTasks.runDeferred(context.getConnection(), client::onClosed);
    }
    return context.getStopAction();
  }

  /**
   * Ends idle connections, and closes those whose peers do not finish a refused body, or close
   * their side, in time.
   */
  public void expire(long idleMillis, long lingerMillis) {
    connections.forEach(client -> client.expire(idleMillis, lingerMillis));
  }

  /**
   * Ends each connection, including those accepted later, once all requests read from it are
   * answered.
   */
  public void endConnections() {
    isEnding = true;
    connections.forEach(ClientConnection::endWhenIdle);
  }

  /** Number of connections accepted so far. */
  public long accepted() {
    return accepted.sum();
  }

  /** Number of open connections. */
  public int open() {
    return connections.size();
  }

  /** Response bytes that the sockets have not accepted yet. */
  public long unwrittenBytes() {
    return connections.stream().mapToLong(ClientConnection::unwrittenBytes).sum();
  }
}
