package io.umberpath.node.mesh;

/**
 * A thread that runs a step again and again until it is closed. An exception or error in a step is
 * logged and counted, and the next step runs after a pause: a node whose thread had ended would go
 * on serving with a state that is never updated again.
 */
final class SupervisedThread implements AutoCloseable {
  /** Part of a task. Blocks until there is work. */
  interface Step {
    void run() throws Exception;
  }

  /** Keeps a recurring fault from causing a busy loop. */
  private static final long FAULT_PAUSE_MILLIS = 1_000;

  private final MeshTask task;
  private final Step step;
  private final MeshEvents events;
  private final Thread thread;
  private volatile boolean closed;

  SupervisedThread(MeshTask task, Step step, MeshEvents events) {
    this.task = task;
    this.step = step;
    this.events = events;
    this.thread = task.newThread(this::run);
  }

  /** Starts the thread; called once. */
  void start() {
    thread.start();
  }

  private void run() {
    while (!closed) {
      try {
        step.run();
      } catch (Exception | Error fault) {
        // Only close interrupts this thread on purpose.
        if (!closed) {
          events.fault(task, fault);
          pause();
        }
      }
    }
  }

  private void pause() {
    try {
      Thread.sleep(FAULT_PAUSE_MILLIS);
    } catch (InterruptedException interrupted) {
      // The loop ends if this thread was closed.
      return;
    }
  }

  /** Interrupts the current step and starts no other. */
  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
