package io.umberpath.node.proxy.inbound;

import java.util.function.LongSupplier;

/** Measures how long a connection has been idle. Thread-safe. */
final class IdleTimer {
  private final LongSupplier clockMillis;
  private volatile long sinceMillis;
  private volatile long lastUnwrittenBytes;

  IdleTimer(LongSupplier clockMillis) {
    this.clockMillis = clockMillis;
    restart();
  }

  /** Restarts the time after activity on the connection. */
  void restart() {
    sinceMillis = clockMillis.getAsLong();
  }

  /** Restarts the time if the peer has read output since the last call. */
  void noteUnwrittenBytes(long unwrittenBytes) {
    if (unwrittenBytes != lastUnwrittenBytes) {
      lastUnwrittenBytes = unwrittenBytes;
      restart();
    }
  }

  boolean hasElapsed(long timeoutMillis) {
    return clockMillis.getAsLong() - sinceMillis >= timeoutMillis;
  }
}
