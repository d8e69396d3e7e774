package io.umberpath.node.proxy.loop;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * The event loop of a transport. It tracks how late reads are, and reads input before it starts
 * work in a late iteration.
 *
 * <p>For each selector thread it keeps the earliest time at which the input read in the current
 * iteration can have arrived: sockets that were ready earlier were read in the previous iteration,
 * so this input arrived after the previous selection.
 *
 * <p>Work submitted in a late iteration ({@link #runOrDefer}) waits until all input that has
 * arrived meanwhile has been read, since this may include the client's close. It then runs in time
 * slices, with a read iteration between them.
 */
public final class EventLoop extends DefaultSelectorHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Iterations shorter than this do not delay input noticeably. */
  private static final long SHORT_ITERATION_NANOS = 5_000_000;

  /** Read delay from which work is deferred by an iteration. */
  private static final long LATE_THRESHOLD_NANOS = 20_000_000;

  /**
   * Shortest time slice for deferred work between two read iterations; the slice is as long as the
   * last read phase, within the two limits.
   */
  private static final long MIN_SLICE_NANOS = 20_000_000;

  /** Longest time slice for deferred work; after that, the input read before is stale. */
  private static final long MAX_SLICE_NANOS = 100_000_000;

  private static final long NANOS_PER_MICRO = 1_000;
  private static final ThreadLocal<Iteration> ITERATION = new ThreadLocal<>();

  private final IterationListener listener;
  private final Set<Iteration> iterations = ConcurrentHashMap.newKeySet();

  /**
   * Creates the event loop of one transport.
   *
   * @param listener is notified of iterations that were not short
   */
  public EventLoop(IterationListener listener) {
    this.listener = listener;
  }

  /**
   * The earliest time at which the input that this thread reads in the current iteration can have
   * arrived, on {@link System#nanoTime}; the current time on other threads.
   */
  public static long earliestArrivalNanos() {
    Iteration iteration = ITERATION.get();
    return iteration == null ? System.nanoTime() : iteration.earliestArrivalNanos;
  }

  /** Whether the calling thread is a selector thread of any transport. */
  public static boolean isSelectorThread() {
    return ITERATION.get() != null;
  }

  /** Whether the calling thread is the selector thread of a connection. */
  static boolean isSelectorThreadOf(Connection<?> connection) {
    Iteration iteration = ITERATION.get();
    return iteration != null
        && connection instanceof NIOConnection nio
        && nio.getSelectorRunner() == iteration.runner;
  }

  /** The time of the current iteration's selection; the current time on other threads. */
  static long selectedNanos() {
    Iteration iteration = ITERATION.get();
    return iteration == null ? System.nanoTime() : iteration.selectedNanos;
  }

  /**
   * The middle of the interval in which the input that this thread reads in the current iteration
   * has arrived, on {@link System#nanoTime}; the current time on other threads.
   */
  public static long estimatedArrivalNanos() {
    long earliestNanos = earliestArrivalNanos();
    return earliestNanos + (selectedNanos() - earliestNanos) / 2;
  }

  /** The time of the previous iteration's selection; the current time on other threads. */
  static long lastSelectedNanos() {
    Iteration iteration = ITERATION.get();
    return iteration == null ? System.nanoTime() : iteration.lastSelectedNanos;
  }

  /**
   * Runs work at once, or, if this thread is late, after it has read the input that has arrived.
   */
  public static void runOrDefer(Runnable work) {
    Iteration iteration = ITERATION.get();
    if (iteration == null || !iteration.isLate()) {
      work.run();
    } else {
      iteration.deferred.add(work);
    }
  }

  /**
   * Runs a task and logs what it throws, so that neither the selector thread nor later tasks are
   * affected.
   *
   * @param failureMessage the log message
   */
  public static void runGuarded(Runnable task, String failureMessage) {
    try {
      task.run();
    } catch (RuntimeException | Error fault) {
      logger.atSevere().withCause(fault).log("%s", failureMessage);
    }
  }

  /** Whether a selector thread has been busy for so long that input may be waiting unread. */
  public boolean isBehind() {
    for (Iteration iteration : iterations) {
      if (iteration.isBusyTooLong()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Runs a task once every selector thread has read the input that arrived before this call. With
   * several threads it runs on the last of them.
   */
  public void runAfterReading(Runnable task) {
    if (iterations.isEmpty()) {
      task.run();
      return;
    }
    AtomicInteger threadsLeft = new AtomicInteger(iterations.size());
    for (Iteration iteration : iterations) {
      enque(iteration.runner, () -> runAfterNextIteration(iteration, threadsLeft, task), null);
    }
  }

  private boolean runAfterNextIteration(
      Iteration iteration, AtomicInteger threadsLeft, Runnable task) {
    // A task enqueued from the selector thread itself runs after the next iteration.
    enque(
        iteration.runner,
        () -> {
          if (threadsLeft.decrementAndGet() == 0) {
            DeferredTasks.runGuarded(task);
          }
          return true;
        },
        null);
    return true;
  }

  @Override
  public boolean preSelect(SelectorRunner runner) throws IOException {
    boolean shouldContinue = super.preSelect(runner);
    Iteration iteration = ITERATION.get();
    if (iteration != null) {
      iteration.runDeferred();
    }
    return shouldContinue;
  }

  @Override
  public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
    Iteration iteration = ITERATION.get();
    if (iteration == null) {
      iteration = new Iteration(runner);
      ITERATION.set(iteration);
      iterations.add(iteration);
    }
    long durationNanos = System.nanoTime() - iteration.selectedNanos;
    boolean wasLong = durationNanos >= SHORT_ITERATION_NANOS;
    if (wasLong) {
      listener.iterationEnded(durationNanos / NANOS_PER_MICRO, iteration.sockets);
    }
    Selector selector = runner.getSelector();
    iteration.isSelecting = true;
    if (selector == null || !wasLong && !iteration.deferred.hasTasks()) {
      return iteration.begin(super.select(runner), false);
    }
    if (selector.selectNow() > 0) {
      return iteration.begin(selector.selectedKeys(), true);
    }
    // No socket was ready. The non-blocking selection also consumed any wake-up, whose task must
    // run first.
    return iteration.begin(Set.of(), false);
  }

  /** The current iteration of one selector thread. */
  private static final class Iteration {
    private final DeferredTasks deferred = new DeferredTasks();
    private final SelectorRunner runner;
    private volatile boolean isSelecting;
    private volatile long selectedNanos = System.nanoTime();
    private long lastSelectedNanos = selectedNanos;
    private volatile long earliestArrivalNanos = selectedNanos;
    private int sockets;

    Iteration(SelectorRunner runner) {
      this.runner = runner;
    }

    boolean isBusyTooLong() {
      return !isSelecting && System.nanoTime() - earliestArrivalNanos >= LATE_THRESHOLD_NANOS;
    }

    Set<SelectionKey> begin(Set<SelectionKey> selected, boolean wasInputWaiting) {
      lastSelectedNanos = selectedNanos;
      selectedNanos = System.nanoTime();
      isSelecting = false;
      earliestArrivalNanos = wasInputWaiting ? lastSelectedNanos : selectedNanos;
      sockets = selected.size();
      deferred.onIterationStart();
      return selected;
    }

    boolean isLate() {
      return !deferred.isRunning()
          && (deferred.hasTasks()
              || System.nanoTime() - earliestArrivalNanos >= LATE_THRESHOLD_NANOS);
    }

    void runDeferred() {
      long readingNanos = System.nanoTime() - selectedNanos;
      deferred.run(Math.min(MAX_SLICE_NANOS, Math.max(MIN_SLICE_NANOS, readingNanos)));
    }
  }
}
