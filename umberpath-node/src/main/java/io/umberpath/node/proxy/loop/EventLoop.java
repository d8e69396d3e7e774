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
 * The event loop of a transport: selects, and has each iteration read before it begins work.
 *
 * <p>For each selector thread it keeps since when what is read in the present iteration may have
 * been waiting: the sockets that were ready before were read in the iteration before, so that what
 * is read now arrived after that one's sockets had been selected.
 *
 * <p>Work that begins in a late iteration ({@link #runOrDefer}) waits until all that has arrived
 * meanwhile has been read: the end of its caller may be among it. It then runs in slices, with an
 * iteration of reading between them.
 */
public final class EventLoop extends DefaultSelectorHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Iterations that end sooner keep nothing waiting for long enough to matter. */
  private static final long SHORT_ITERATION_NANOS = 5_000_000;

  /** Delay of reading from which on work waits for another iteration. */
  private static final long LATE_THRESHOLD_NANOS = 20_000_000;

  /**
   * Least time for work between two iterations of reading; up to the most, as long as the reading.
   */
  private static final long MIN_SLICE_NANOS = 20_000_000;

  /** Most time for work between two iterations of reading; what was read is old after that. */
  private static final long MAX_SLICE_NANOS = 100_000_000;

  private static final long NANOS_PER_MICRO = 1_000;
  private static final ThreadLocal<Iteration> ITERATION = new ThreadLocal<>();

  private final IterationListener listener;
  private final Set<Iteration> iterations = ConcurrentHashMap.newKeySet();

  /**
   * Creates a handler for one transport.
   *
   * @param listener hears of iterations that were not short
   */
  public EventLoop(IterationListener listener) {
    this.listener = listener;
  }

  /**
   * The earliest moment at which what this thread reads in its present iteration can have arrived,
   * on {@link System#nanoTime}; now if it is no selector thread.
   */
  public static long earliestArrivalNanos() {
    Iteration iteration = ITERATION.get();
    return iteration == null ? System.nanoTime() : iteration.earliestArrivalNanos;
  }

  /** Whether the calling thread selects, for any transport. */
  public static boolean isSelectorThread() {
    return ITERATION.get() != null;
  }

  /** Whether the calling thread is the one that selects a connection. */
  static boolean isSelectorThreadOf(Connection<?> connection) {
    Iteration iteration = ITERATION.get();
    return iteration != null
        && connection instanceof NIOConnection nio
        && nio.getSelectorRunner() == iteration.runner;
  }

  /** When the present iteration's selection was made; now if the caller is no selector thread. */
  static long selectedNanos() {
    Iteration iteration = ITERATION.get();
    return iteration == null ? System.nanoTime() : iteration.selectedNanos;
  }

  /**
   * The middle of the time in which what this thread reads in its present iteration has arrived, on
   * {@link System#nanoTime}; now if it is no selector thread.
   */
  public static long estimatedArrivalNanos() {
    long earliestNanos = earliestArrivalNanos();
    return earliestNanos + (selectedNanos() - earliestNanos) / 2;
  }

  /**
   * When the selection before the present iteration's was made; now if it is no selector thread.
   */
  static long lastSelectedNanos() {
    Iteration iteration = ITERATION.get();
    return iteration == null ? System.nanoTime() : iteration.lastSelectedNanos;
  }

  /** Runs work at once, or if this thread is late, after it has read what has arrived. */
  public static void runOrDefer(Runnable work) {
    Iteration iteration = ITERATION.get();
    if (iteration == null || !iteration.isLate()) {
      work.run();
    } else {
      iteration.deferred.add(work);
    }
  }

  /**
   * Runs a task that must not end its selector thread, nor what waits behind it, if it throws.
   *
   * @param failure what the log says then
   */
  public static void runGuarded(Runnable task, String failureMessage) {
    try {
      task.run();
    } catch (RuntimeException | Error fault) {
      logger.atSevere().withCause(fault).log("%s", failureMessage);
    }
  }

  /** Whether a thread has been busy for so long that what has arrived may lie unread. */
  public boolean isBehind() {
    for (Iteration iteration : iterations) {
      if (iteration.isBusyTooLong()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Runs a task once each thread has read what has arrived before this call. With several threads
   * it runs on the last of them.
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
    // From its own thread a task is put off until after the next iteration.
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
    // Nothing has been waiting. The look has also taken a wake-up, whose task comes first now.
    return iteration.begin(Set.of(), false);
  }

  /** The present iteration of one selector thread. */
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

    Set<SelectionKey> begin(Set<SelectionKey> selected, boolean isWaiting) {
      lastSelectedNanos = selectedNanos;
      selectedNanos = System.nanoTime();
      isSelecting = false;
      earliestArrivalNanos = isWaiting ? lastSelectedNanos : selectedNanos;
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
