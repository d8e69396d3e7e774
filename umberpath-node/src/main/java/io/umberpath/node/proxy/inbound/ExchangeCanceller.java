package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;
import java.util.ArrayList;
import java.util.List;

/**
 * Cancels exchanges whose client connection is closed. The write that found the connection closed
 * may hold the lock of one exchange, under which no other may be taken; the others are then
 * cancelled later. Thread-safe.
 */
final class ExchangeCanceller {
  private final List<Exchange> deferred = new ArrayList<>();

  /**
   * Cancels the exchanges now, or later in {@link #cancelDeferred} if another one's lock is held.
   */
  void cancel(List<Exchange> exchanges) {
    boolean isUnderLock = exchanges.stream().anyMatch(Thread::holdsLock);
    for (Exchange exchange : exchanges) {
      if (!isUnderLock || Thread.holdsLock(exchange)) {
        exchange.failWithoutRetry(Verdict.Reason.CANCELLED);
      } else {
        defer(exchange);
      }
    }
  }

  private synchronized void defer(Exchange exchange) {
    deferred.add(exchange);
  }

  /** Cancels the exchanges that were deferred. */
  void cancelDeferred() {
    takeDeferred().forEach(exchange -> exchange.failWithoutRetry(Verdict.Reason.CANCELLED));
  }

  private synchronized List<Exchange> takeDeferred() {
    if (deferred.isEmpty()) {
      return List.of();
    }
    List<Exchange> taken = List.copyOf(deferred);
    deferred.clear();
    return taken;
  }
}
