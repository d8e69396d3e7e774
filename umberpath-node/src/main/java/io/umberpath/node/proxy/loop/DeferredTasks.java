package io.umberpath.node.proxy.loop;

import java.util.ArrayDeque;
import java.util.Queue;

/** Tasks of one event loop that wait until a whole iteration of reading has followed them. */
final class DeferredTasks {
  private record Entry(Runnable task, long iteration) {}

  private final Queue<Entry> entries = new ArrayDeque<>();
  private long iteration;
  private boolean isRunning;

  void add(Runnable task) {
    entries.add(new Entry(task, iteration));
  }

  /** Whether there is any. */
  boolean hasTasks() {
    return !entries.isEmpty();
  }

  /** Whether it is called from one of them. */
  boolean isRunning() {
    return isRunning;
  }

  /** Sockets have been selected, and are read next. */
  void onIterationStart() {
    iteration++;
  }

  /** Runs those that were added before the last iteration, for so long. */
  void run(long sliceNanos) {
    long startNanos = System.nanoTime();
    isRunning = true;
    try {
      while (isNextTaskDue() && System.nanoTime() - startNanos < sliceNanos) {
        runGuarded(entries.remove().task());
      }
    } finally {
      isRunning = false;
    }
  }

  private boolean isNextTaskDue() {
    Entry next = entries.peek();
    return next != null && next.iteration() < iteration;
  }

  static void runGuarded(Runnable task) {
    EventLoop.runGuarded(task, "deferred task failed");
  }
}
