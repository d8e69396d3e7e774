package io.umberpath.node.proxy.loop;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Tasks of one event loop that wait until a complete read iteration has followed their submission.
 */
final class DeferredTasks {
  private record Entry(Runnable task, long iteration) {}

  private final Queue<Entry> entries = new ArrayDeque<>();
  private long iteration;
  private boolean isRunning;

  void add(Runnable task) {
    entries.add(new Entry(task, iteration));
  }

  /** Whether any task is waiting. */
  boolean hasTasks() {
    return !entries.isEmpty();
  }

  /** Whether the caller is one of the tasks. */
  boolean isRunning() {
    return isRunning;
  }

  /** Called when sockets have been selected and are about to be read. */
  void onIterationStart() {
    iteration++;
  }

  /** Runs the tasks that were added before the last iteration, for at most about the given time. */
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
