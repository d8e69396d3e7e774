package io.umberpath.node.proxy.inbound;

import java.util.List;
import java.util.function.LongSupplier;

/**
 * The last step of a planned stop, when no request is expected any more: what has been read is
 * answered, what was answered is written, and peers are told that no more comes.
 */
public final class ConnectionDrain {
  /** How long a peer that has all its answers may take to end its side, milliseconds. */
  public static final long LINGER_MILLIS = 500;

  private static final long CHECK_MILLIS = 10;

  private final List<InboundFilter> listeners;
  private final ActiveExchanges active;
  private final LongSupplier clockMillis;

  /**
   * Creates a drain that has not begun.
   *
   * @param listeners listeners that accept no more connections
   * @param active requests in flight of all of them
   * @param clockMillis rising clock, milliseconds
   */
  public ConnectionDrain(
      List<InboundFilter> listeners, ActiveExchanges active, LongSupplier clockMillis) {
    this.listeners = listeners;
    this.active = active;
    this.clockMillis = clockMillis;
  }

  /**
   * Ends all connections; returns when they are gone, or only peers that do not end their side are
   * left.
   *
   * @param endMillis when it returns at the latest, on the clock
   */
  public void run(long endMillis) throws InterruptedException {
    listeners.forEach(InboundFilter::endConnections);
    long settledSince = clockMillis.getAsLong();
    while (isAnyOpen() && clockMillis.getAsLong() < endMillis) {
      long now = clockMillis.getAsLong();
      settledSince = isOwing() ? now : settledSince;
      if (now >= settledSince + LINGER_MILLIS) {
        return;
      }
      Thread.sleep(CHECK_MILLIS);
    }
  }

  private boolean isAnyOpen() {
    return listeners.stream().anyMatch(listener -> listener.open() > 0);
  }

  /** Whether an answer is owed, or not yet written. */
  private boolean isOwing() {
    return active.size() > 0
        || listeners.stream().anyMatch(listener -> listener.unwrittenBytes() > 0);
  }
}
