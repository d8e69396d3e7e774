package io.umberpath.lab.backend;

import java.util.ArrayDeque;
import java.util.Deque;

/** Runs at most so many requests at a time and lets a few wait. Thread-safe. */
final class SlotQueue {
  private final int slots;
  private final int limit;
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private int running;

  SlotQueue(int slots, int limit) {
    this.slots = slots;
    this.limit = limit;
  }

  /** Starts the work now or later; false if every slot and place is taken. */
  boolean offer(Runnable work) {
    synchronized (this) {
      if (running == slots) {
        return waiting.size() < limit && waiting.add(work);
      }
      running++;
    }
    work.run();
    return true;
  }

  /** Takes back work that has not started; false if it has. */
  synchronized boolean withdraw(Runnable work) {
    return waiting.remove(work);
  }

  /** Ends one started work; the next one starts on this thread. */
  void release() {
    Runnable next;
    synchronized (this) {
      next = waiting.poll();
      if (next == null) {
        running--;
      }
    }
    if (next != null) {
      next.run();
    }
  }

  synchronized int running() {
    return running;
  }

  synchronized int waiting() {
    return waiting.size();
  }
}
