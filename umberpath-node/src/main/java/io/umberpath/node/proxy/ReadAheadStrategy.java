package io.umberpath.node.proxy;

import io.umberpath.node.proxy.loop.ReadAhead;
import java.io.IOException;
import java.util.concurrent.Executor;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.IOStrategy;
import org.glassfish.grizzly.Transport;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Handles events on the selector thread. Where the filter chain of a connection is suspended, bytes
 * are read ahead instead of running the chain, whose state belongs to the suspended run.
 */
final class ReadAheadStrategy implements IOStrategy {
  private final IOStrategy strategy = SameThreadIOStrategy.getInstance();

  @Override
  @SuppressWarnings("rawtypes") // Grizzly's own signature
  public boolean executeIoEvent(Connection connection, IOEvent event) throws IOException {
    return executeIoEvent(connection, event, true);
  }

  @Override
  @SuppressWarnings("rawtypes") // Grizzly's own signature
  public boolean executeIoEvent(Connection connection, IOEvent event, boolean isEnabled)
      throws IOException {
    boolean isReadAhead =
        event == IOEvent.READ && ReadAhead.handlesRead((Connection<?>) connection);
    return isReadAhead || strategy.executeIoEvent(connection, event, isEnabled);
  }

  @Override
  @SuppressWarnings("rawtypes") // Grizzly's own signature
  public Executor getThreadPoolFor(Connection connection, IOEvent event) {
    return strategy.getThreadPoolFor(connection, event);
  }

  @Override
  public ThreadPoolConfig createDefaultWorkerPoolConfig(Transport transport) {
    return strategy.createDefaultWorkerPoolConfig(transport);
  }
}
