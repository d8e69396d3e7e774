package io.umberpath.node.proxy.inbound;

import java.util.function.LongSupplier;

/** Since when nothing has happened on a connection. Thread-safe. */
final class IdleTimer {
  private final LongSupplier clockMillis;
  private volatile long sinceMillis;
  private volatile long lastUnwrittenBytes;

  IdleTimer(LongSupplier clockMillis) {
    this.clockMillis = clockMillis;
    restart();
  }

  /** Something has happened. */
  void restart() {
    sinceMillis = clockMillis.getAsLong();
  }

  /** A peer that takes what was written is not waited for in vain. */
  void noteUnwrittenBytes(long unwrittenBytes) {
    if (unwrittenBytes != lastUnwrittenBytes) {
      lastUnwrittenBytes = unwrittenBytes;
      restart();
    }
  }

  boolean hasElapsed(long boundMillis) {
    return clockMillis.getAsLong() - sinceMillis >= boundMillis;
  }
}
