package io.umberpath.node.proxy;

import io.umberpath.node.proxy.loop.ReadAhead;
import java.io.IOException;
import java.util.concurrent.Executor;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.IOStrategy;
import org.glassfish.grizzly.Transport;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Handles events on the selector thread. It differs from the transport's default strategy in two
 * points: it accepts all waiting connections, not one per iteration; and it reads ahead while the
 * filter chain of a connection is suspended, since the chain's state belongs to the suspended run.
 * It must also be registered as a probe of the transport's connections.
 */
final class SelectorEventStrategy extends ConnectionProbe.Adapter implements IOStrategy {
  private static final Attribute<Long> ACCEPTED =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.accepted", 0L);

  private final IOStrategy delegate = SameThreadIOStrategy.getInstance();
  private final int maxAcceptsPerIteration;

  /**
   * Creates a strategy.
   *
   * @param maxAcceptsPerIteration most connections accepted per listener and iteration
   */
  SelectorEventStrategy(int maxAcceptsPerIteration) {
    this.maxAcceptsPerIteration = maxAcceptsPerIteration;
  }

  @Override
  @SuppressWarnings("rawtypes") // Grizzly's own signature
  public void onAcceptEvent(Connection server, Connection client) {
    ACCEPTED.set(server, ACCEPTED.get(server) + 1);
  }

  @Override
  @SuppressWarnings("rawtypes") // Grizzly's own signature
  public boolean executeIoEvent(Connection connection, IOEvent event) throws IOException {
    return executeIoEvent(connection, event, true);
  }

  @Override
  @SuppressWarnings("rawtypes") // Grizzly's own signature
  public boolean executeIoEvent(Connection connection, IOEvent event, boolean isEnabled)
      throws IOException {
    if (event == IOEvent.SERVER_ACCEPT) {
      return acceptAll((TCPNIOServerConnection) connection, isEnabled);
    }
    boolean isReadAhead =
        event == IOEvent.READ && ReadAhead.readIfSuspended((Connection<?>) connection);
    return isReadAhead || delegate.executeIoEvent(connection, event, isEnabled);
  }

  private boolean acceptAll(TCPNIOServerConnection server, boolean isEnabled) throws IOException {
    boolean shouldContinue = true;
    boolean hasAccepted = true;
    for (int count = 0; shouldContinue && hasAccepted && count < maxAcceptsPerIteration; count++) {
      long before = ACCEPTED.get(server);
      shouldContinue = delegate.executeIoEvent(server, IOEvent.SERVER_ACCEPT, isEnabled);
      hasAccepted = ACCEPTED.get(server) > before;
    }
    return shouldContinue;
  }

  @Override
  @SuppressWarnings("rawtypes") // Grizzly's own signature
  public Executor getThreadPoolFor(Connection connection, IOEvent event) {
    return delegate.getThreadPoolFor(connection, event);
  }

  @Override
  public ThreadPoolConfig createDefaultWorkerPoolConfig(Transport transport) {
    return delegate.createDefaultWorkerPoolConfig(transport);
  }
}
