package io.umberpath.node.control;

import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlMessage;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;

/**
 * Tasks that wait for the control thread, in order of arrival. Messages of peers are bounded: when
 * too many wait, the oldest one that a later one replaces anyway is dropped, and if there is none,
 * the message that arrives. Tasks of this process are few and never dropped. Thread-safe.
 */
final class ControlInbox {
  private final int maxMessages;
  private final Predicate<ControlMessage> replaceable;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition arrived = lock.newCondition();
  private final ArrayDeque<ControlTask> tasks = new ArrayDeque<>();
  private int messages;
  private long dropped;
  private boolean closed;

  /**
   * Creates an inbox.
   *
   * @param maxMessages messages of peers that may wait
   * @param replaceable tells messages that a later one of the same sender replaces
   */
  ControlInbox(int maxMessages, Predicate<ControlMessage> replaceable) {
    this.maxMessages = maxMessages;
    this.replaceable = replaceable;
  }

  /** Adds an input of this process; false if the inbox is closed. */
  boolean add(ControlInput input) {
    return add(new ControlTask.Input(input));
  }

  /** Adds a task of this process; false if the inbox is closed. */
  boolean add(ControlTask task) {
    lock.lock();
    try {
      if (closed) {
        return false;
      }
      tasks.add(task);
      arrived.signal();
      return true;
    } finally {
      lock.unlock();
    }
  }

  /** Adds a peer's message, or drops one if too many wait. */
  void addMessage(ControlInput.MessageReceived message) {
    lock.lock();
    try {
      if (closed) {
        return;
      }
      if (messages >= maxMessages && !makeRoom()) {
        return;
      }
      tasks.add(new ControlTask.Input(message));
      messages++;
      arrived.signal();
    } finally {
      lock.unlock();
    }
  }

  private boolean makeRoom() {
    dropped++;
    for (Iterator<ControlTask> waiting = tasks.iterator(); waiting.hasNext(); ) {
      if (isReplaceable(waiting.next())) {
        waiting.remove();
        messages--;
        return true;
      }
    }
    return false;
  }

  private boolean isReplaceable(ControlTask task) {
    return task instanceof ControlTask.Input input
        && input.input() instanceof ControlInput.MessageReceived received
        && replaceable.test(received.message());
  }

  private static boolean isMessage(ControlTask task) {
    return task instanceof ControlTask.Input input
        && input.input() instanceof ControlInput.MessageReceived;
  }

  /** Takes the oldest task, waiting at most so long; empty if none came. */
  Optional<ControlTask> poll(long waitMillis) throws InterruptedException {
    lock.lockInterruptibly();
    try {
      long remaining = TimeUnit.MILLISECONDS.toNanos(waitMillis);
      while (tasks.isEmpty() && !closed && remaining > 0) {
        remaining = arrived.awaitNanos(remaining);
      }
      ControlTask task = tasks.poll();
      if (isMessage(task)) {
        messages--;
      }
      return Optional.ofNullable(task);
    } finally {
      lock.unlock();
    }
  }

  /** Whether {@link #close} was called. */
  boolean isClosed() {
    lock.lock();
    try {
      return closed;
    } finally {
      lock.unlock();
    }
  }

  /** Takes everything that waits. */
  List<ControlTask> drain() {
    lock.lock();
    try {
      List<ControlTask> all = List.copyOf(tasks);
      tasks.clear();
      messages = 0;
      return all;
    } finally {
      lock.unlock();
    }
  }

  /** Refuses further tasks; those that wait can still be taken. */
  void close() {
    lock.lock();
    try {
      closed = true;
      arrived.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Messages dropped since the start. */
  long dropped() {
    lock.lock();
    try {
      return dropped;
    } finally {
      lock.unlock();
    }
  }
}
