package io.umberpath.lab.simulate;

import java.util.PriorityQueue;

/**
 * Virtual time and the pending events of one simulation. Events run in order of time, events of one
 * time in the order they were added. Not thread-safe; times are nanoseconds since the start.
 */
final class EventQueue {
  private final PriorityQueue<Entry> entries = new PriorityQueue<>();
  private long nowNanos;
  private long added;

  private record Entry(long timeNanos, long order, Runnable action) implements Comparable<Entry> {
    @Override
    public int compareTo(Entry other) {
      int byTime = Long.compare(timeNanos, other.timeNanos);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  long nowNanos() {
    return nowNanos;
  }

  /** Runs the action at a time; at once, after what is already due, if the time has passed. */
  void at(long timeNanos, Runnable action) {
    entries.add(new Entry(Math.max(timeNanos, nowNanos), added++, action));
  }

  void after(long delayNanos, Runnable action) {
    at(nowNanos + delayNanos, action);
  }

  /** Runs events until the given time has come or the condition of the caller stops it. */
  void runUntil(long endNanos, java.util.function.BooleanSupplier stop) {
    while (!stop.getAsBoolean() && !entries.isEmpty() && entries.peek().timeNanos <= endNanos) {
      Entry entry = entries.poll();
      nowNanos = entry.timeNanos;
      entry.action.run();
    }
    if (!stop.getAsBoolean()) {
      nowNanos = Math.max(nowNanos, endNanos);
    }
  }
}
