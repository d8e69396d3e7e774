package io.umberpath.node.mesh;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Events in virtual time, in the order of their times and then of their scheduling. */
final class VirtualTime {
  private record Event(double atMillis, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis).thenComparing(Event::order));
  private double nowMillis;
  private long lastOrder;

  double exactMillis() {
    return nowMillis;
  }

  /** The time as a node reads it. */
  long millis() {
    return (long) nowMillis;
  }

  void schedule(double afterMillis, Runnable action) {
    events.add(new Event(nowMillis + afterMillis, lastOrder++, action));
  }

  void scheduleEvery(long periodMillis, Runnable action) {
    schedule(
        periodMillis,
        () -> {
          action.run();
          scheduleEvery(periodMillis, action);
        });
  }

  void runUntil(long endMillis) {
    while (!events.isEmpty() && events.peek().atMillis() < endMillis) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
  }
}
