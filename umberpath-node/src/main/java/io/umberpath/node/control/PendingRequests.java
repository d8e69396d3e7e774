package io.umberpath.node.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;

/**
 * Requests whose results are pending, each with a deadline. Not thread-safe: used only by the
 * control thread. Futures complete on other threads so that callers cannot block the control
 * thread.
 *
 * @param <T> type of the result
 */
final class PendingRequests<T> {
  private final Map<Long, CompletableFuture<T>> pending = new HashMap<>();
  private final PriorityQueue<Deadline> deadlines =
      new PriorityQueue<>(Comparator.comparingLong(Deadline::atMillis));

  private record Deadline(long atMillis, long ticket) {}

  /** Registers a pending request. */
  void add(long ticket, CompletableFuture<T> future, long deadlineMillis) {
    pending.put(ticket, future);
    deadlines.add(new Deadline(deadlineMillis, ticket));
  }

  /** Completes a request; has no effect if it is already completed. */
  void complete(long ticket, T result) {
    CompletableFuture<T> future = pending.remove(ticket);
    if (future != null) {
      future.completeAsync(() -> result);
    }
  }

  /** The earliest deadline of a pending request, in milliseconds; empty if none is pending. */
  OptionalLong nextDeadlineMillis() {
    discardCompleted();
    return deadlines.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(deadlines.peek().atMillis());
  }

  /** Tickets of pending requests whose deadline has passed; each is returned once. */
  List<Long> takeExpired(long nowMillis) {
    List<Long> expired = new ArrayList<>();
    discardCompleted();
    while (!deadlines.isEmpty() && deadlines.peek().atMillis() <= nowMillis) {
      expired.add(deadlines.remove().ticket());
      discardCompleted();
    }
    return expired;
  }

  private void discardCompleted() {
    while (!deadlines.isEmpty() && !pending.containsKey(deadlines.peek().ticket())) {
      deadlines.remove();
    }
  }

  /** Tickets of all pending requests. */
  List<Long> pendingTickets() {
    return List.copyOf(pending.keySet());
  }

  /** Number of pending requests. */
  int size() {
    return pending.size();
  }
}
