package io.umberpath.traffic.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Event loop in virtual time: runs actions in the order of their times, then of their registration.
 */
final class EventLoop {
  private record Event(long atMicros, long number, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::number));
  private long nowMicros;
  private long nextNumber;

  long nowMicros() {
    return nowMicros;
  }

  long nowMillis() {
    return nowMicros / 1_000;
  }

  void schedule(long micros, Runnable action) {
    events.add(new Event(nowMicros + micros, nextNumber++, action));
  }

  void runUntil(long endMicros) {
    while (!events.isEmpty() && events.peek().atMicros <= endMicros) {
      Event next = events.poll();
      nowMicros = next.atMicros;
      next.action.run();
    }
    nowMicros = endMicros;
  }
}
