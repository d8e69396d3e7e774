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
 * Answers that callers wait for, each with a deadline. Not thread-safe: belongs to the control
 * thread. Futures complete on other threads, so that callers cannot hold up the control thread.
 *
 * @param <T> kind of answer
 */
final class TicketBook<T> {
  private final Map<Long, CompletableFuture<T>> open = new HashMap<>();
  private final PriorityQueue<Deadline> deadlines =
      new PriorityQueue<>(Comparator.comparingLong(Deadline::atMillis));

  private record Deadline(long atMillis, long ticket) {}

  /** Opens a ticket. */
  void open(long ticket, CompletableFuture<T> future, long deadlineMillis) {
    open.put(ticket, future);
    deadlines.add(new Deadline(deadlineMillis, ticket));
  }

  /** Answers a ticket; nothing happens if it was answered before. */
  void answer(long ticket, T result) {
    CompletableFuture<T> future = open.remove(ticket);
    if (future != null) {
      future.completeAsync(() -> result);
    }
  }

  /** When the next deadline passes, if any ticket is open. */
  OptionalLong nextDeadline() {
    dropAnswered();
    return deadlines.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(deadlines.peek().atMillis());
  }

  /** Open tickets whose deadline has passed; each is returned once. */
  List<Long> takeOverdue(long nowMillis) {
    List<Long> overdue = new ArrayList<>();
    dropAnswered();
    while (!deadlines.isEmpty() && deadlines.peek().atMillis() <= nowMillis) {
      overdue.add(deadlines.remove().ticket());
      dropAnswered();
    }
    return overdue;
  }

  private void dropAnswered() {
    while (!deadlines.isEmpty() && !open.containsKey(deadlines.peek().ticket())) {
      deadlines.remove();
    }
  }

  /** Tickets that are not answered. */
  List<Long> openTickets() {
    return List.copyOf(open.keySet());
  }

  /** Number of open tickets. */
  int size() {
    return open.size();
  }
}
