package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;
import java.util.ArrayList;
import java.util.List;

/**
 * Ends exchanges whose caller is gone. The write that found that out may hold the lock of one of
 * them, under which no other may be taken: then the others are ended later. Thread-safe.
 */
final class ExchangeCanceller {
  private final List<Exchange> deferred = new ArrayList<>();

  /** Ends them now, or those that cannot be with {@link #endThoseLeft}. */
  void cancel(List<Exchange> exchanges) {
    boolean isUnderLock = exchanges.stream().anyMatch(Thread::holdsLock);
    for (Exchange exchange : exchanges) {
      if (!isUnderLock || Thread.holdsLock(exchange)) {
        exchange.giveUp(Verdict.Reason.CANCELLED);
      } else {
        defer(exchange);
      }
    }
  }

  private synchronized void defer(Exchange exchange) {
    deferred.add(exchange);
  }

  /** Ends those that could not be ended under another's lock. */
  void cancelDeferred() {
    takeDeferred().forEach(exchange -> exchange.giveUp(Verdict.Reason.CANCELLED));
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
