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
 * FIFO queue of tasks for the control thread. Messages from peers are bounded: when the queue is
 * full, the oldest message that a later one from the same sender supersedes is dropped; if there is
 * none, the new message is dropped. Tasks from this process are few and never dropped. Thread-safe.
 */
final class ControlInbox {
  private final int maxMessages;
  private final Predicate<ControlMessage> replaceable;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition notEmpty = lock.newCondition();
  private final ArrayDeque<ControlTask> tasks = new ArrayDeque<>();
  private int queuedMessages;
  private long droppedMessages;
  private boolean closed;

  /**
   * Creates an inbox.
   *
   * @param maxMessages maximum number of queued messages from peers
   * @param replaceable matches messages that a later one from the same sender supersedes
   */
  ControlInbox(int maxMessages, Predicate<ControlMessage> replaceable) {
    this.maxMessages = maxMessages;
    this.replaceable = replaceable;
  }

  /** Enqueues an input from this process; returns false if the inbox is closed. */
  boolean add(ControlInput input) {
    return add(new ControlTask.Input(input));
  }

  /** Enqueues a task from this process; returns false if the inbox is closed. */
  boolean add(ControlTask task) {
    lock.lock();
    try {
      if (closed) {
        return false;
      }
      tasks.add(task);
      notEmpty.signal();
      return true;
    } finally {
      lock.unlock();
    }
  }

  /** Enqueues a message from a peer; drops a message if the queue is full. */
  void addMessage(ControlInput.MessageReceived message) {
    lock.lock();
    try {
      if (closed) {
        return;
      }
      if (queuedMessages >= maxMessages && !evictOldestReplaceable()) {
        return;
      }
      tasks.add(new ControlTask.Input(message));
      queuedMessages++;
      notEmpty.signal();
    } finally {
      lock.unlock();
    }
  }

  private boolean evictOldestReplaceable() {
    droppedMessages++;
    for (Iterator<ControlTask> queued = tasks.iterator(); queued.hasNext(); ) {
      if (isReplaceable(queued.next())) {
        queued.remove();
        queuedMessages--;
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

  /** Removes the oldest task, waiting up to the timeout; empty if none arrives in time. */
  Optional<ControlTask> poll(long waitMillis) throws InterruptedException {
    lock.lockInterruptibly();
    try {
      long remaining = TimeUnit.MILLISECONDS.toNanos(waitMillis);
      while (tasks.isEmpty() && !closed && remaining > 0) {
        remaining = notEmpty.awaitNanos(remaining);
      }
      ControlTask task = tasks.poll();
      if (isMessage(task)) {
        queuedMessages--;
      }
      return Optional.ofNullable(task);
    } finally {
      lock.unlock();
    }
  }

  /** Returns whether {@link #close} was called. */
  boolean isClosed() {
    lock.lock();
    try {
      return closed;
    } finally {
      lock.unlock();
    }
  }

  /** Removes and returns all queued tasks. */
  List<ControlTask> drain() {
    lock.lock();
    try {
      List<ControlTask> drained = List.copyOf(tasks);
      tasks.clear();
      queuedMessages = 0;
      return drained;
    } finally {
      lock.unlock();
    }
  }

  /** Rejects further tasks; queued tasks can still be removed. */
  void close() {
    lock.lock();
    try {
      closed = true;
      notEmpty.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Number of messages dropped since the inbox was created. */
  long droppedMessages() {
    lock.lock();
    try {
      return droppedMessages;
    } finally {
      lock.unlock();
    }
  }
}
