package io.umberpath.node.proxy.inbound;

import java.util.List;
import java.util.function.LongSupplier;

/**
 * The last step of a graceful shutdown, when no more requests are expected: requests already read
 * are answered, responses are written, and the output of each connection is shut down. Then waits
 * until the peers have closed their side, too: until then a peer may not have read all of its
 * responses, and the exit of the process would reset the connection and discard them.
 */
public final class ConnectionDrain {
  private static final long CHECK_MILLIS = 10;

  private final List<InboundFilter> listeners;
  private final LongSupplier clockMillis;

  /**
   * Creates a drain that has not started.
   *
   * @param listeners filters of the listeners that accept no more connections
   * @param clockMillis monotonic clock, milliseconds
   */
  public ConnectionDrain(List<InboundFilter> listeners, LongSupplier clockMillis) {
    this.listeners = listeners;
    this.clockMillis = clockMillis;
  }

  /**
   * Shuts down all connections and returns when they are closed.
   *
   * @param endMillis the latest time to return, on the clock, milliseconds
   */
  public void run(long endMillis) throws InterruptedException {
    listeners.forEach(InboundFilter::endConnections);
    while (isAnyOpen() && clockMillis.getAsLong() < endMillis) {
      Thread.sleep(CHECK_MILLIS);
    }
  }

  private boolean isAnyOpen() {
    return listeners.stream().anyMatch(listener -> listener.open() > 0);
  }
}
