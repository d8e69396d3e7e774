package io.umberpath.node.proxy.inbound;

import java.util.List;
import java.util.function.LongSupplier;

/**
 * The last step of a planned stop, when no request is expected any more: what has been read is
 * answered, what was answered is written, and peers are told that no more comes. A connection is
 * gone when its peer has ended it, too: until then the peer may not have read all of its answers,
 * and the end of the process would take back what it has not.
 */
public final class ConnectionDrain {
  private static final long CHECK_MILLIS = 10;

  private final List<InboundFilter> listeners;
  private final LongSupplier clockMillis;

  /**
   * Creates a drain that has not begun.
   *
   * @param listeners listeners that accept no more connections
   * @param clockMillis rising clock, milliseconds
   */
  public ConnectionDrain(List<InboundFilter> listeners, LongSupplier clockMillis) {
    this.listeners = listeners;
    this.clockMillis = clockMillis;
  }

  /**
   * Ends all connections; returns when they are gone.
   *
   * @param endMillis when it returns at the latest, on the clock
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
