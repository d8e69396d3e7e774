package io.umberpath.node.proxy.turn;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * Selects, in turns that read before they begin work. For each selector thread it keeps since when
 * what is read in the present turn may have been waiting: the sockets that were ready before were
 * read in the turn before, so that what is read now arrived after that turn's sockets had been
 * selected.
 *
 * <p>Work that is begun in a turn that came late ({@link #beginWork}) waits until all that has
 * arrived meanwhile has been read: the end of its caller may be among it. It is then begun in
 * slices, with a turn of reading between them.
 */
public final class SelectorTurns extends DefaultSelectorHandler {
  /** Turns that end sooner keep nothing waiting for long enough to matter. */
  private static final long SHORT_TURN_NANOS = 5_000_000;

  /** Delay of reading from which on work waits for another turn of reading. */
  private static final long LATE_NANOS = 20_000_000;

  /** Least time for work between two turns of reading; up to the most, as long as the reading. */
  private static final long SLICE_NANOS = 20_000_000;

  /** Most time for work between two turns of reading; what was read is old after that. */
  private static final long LONGEST_SLICE_NANOS = 100_000_000;

  private static final long NANOS_PER_MICRO = 1_000;
  private static final ThreadLocal<Turn> TURN = new ThreadLocal<>();

  private final LateTurnListener listener;
  private final Set<Turn> turns = ConcurrentHashMap.newKeySet();

  /**
   * Creates a handler for one transport.
   *
   * @param listener hears of turns that were not short
   */
  public SelectorTurns(LateTurnListener listener) {
    this.listener = listener;
  }

  /**
   * The earliest moment at which what this thread reads in its present turn can have arrived, on
   * {@link System#nanoTime}; now if it is no selector thread.
   */
  public static long earliestArrivalNanos() {
    Turn turn = TURN.get();
    return turn == null ? System.nanoTime() : turn.earliestArrivalNanos;
  }

  /** Whether the calling thread selects, for any transport. */
  public static boolean isSelectorThread() {
    return TURN.get() != null;
  }

  /** When the present turn's selection was made; now if the caller is no selector thread. */
  static long selectedNanos() {
    Turn turn = TURN.get();
    return turn == null ? System.nanoTime() : turn.selectedNanos;
  }

  /**
   * The middle of the time in which what this thread reads in its present turn has arrived, on
   * {@link System#nanoTime}; now if it is no selector thread.
   */
  public static long likelyArrivalNanos() {
    long earliestNanos = earliestArrivalNanos();
    return earliestNanos + (selectedNanos() - earliestNanos) / 2;
  }

  /** When the selection before the present turn's was made; now if it is no selector thread. */
  static long lastSelectedNanos() {
    Turn turn = TURN.get();
    return turn == null ? System.nanoTime() : turn.lastSelectedNanos;
  }

  /**
   * Begins work at once, or if this thread is late, after it has read what has arrived meanwhile.
   * Work begins in the order of its calls.
   */
  public static void beginWork(Runnable work) {
    Turn turn = TURN.get();
    if (turn == null || !turn.isLate()) {
      work.run();
    } else {
      turn.pending.add(work);
    }
  }

  /** Whether a thread has been busy for so long that what has arrived may lie unread. */
  public boolean isBehind() {
    for (Turn turn : turns) {
      if (turn.isBusyTooLong()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Runs a task once each thread has read what has arrived before this call. With several threads
   * it runs on the last of them.
   */
  public void afterReading(Runnable task) {
    if (turns.isEmpty()) {
      task.run();
      return;
    }
    AtomicInteger reading = new AtomicInteger(turns.size());
    for (Turn turn : turns) {
      enque(turn.runner, () -> afterNextTurn(turn, reading, task), null);
    }
  }

  private boolean afterNextTurn(Turn turn, AtomicInteger reading, Runnable task) {
    // From its own thread a task is put off until after the next turn.
    enque(
        turn.runner,
        () -> {
          if (reading.decrementAndGet() == 0) {
            PendingWork.beginGuarded(task);
          }
          return true;
        },
        null);
    return true;
  }

  @Override
  public boolean preSelect(SelectorRunner runner) throws IOException {
    boolean goesOn = super.preSelect(runner);
    Turn turn = TURN.get();
    if (turn != null) {
      turn.beginPending();
    }
    return goesOn;
  }

  @Override
  public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
    Turn turn = TURN.get();
    if (turn == null) {
      turn = new Turn(runner);
      TURN.set(turn);
      turns.add(turn);
    }
    long lastedNanos = System.nanoTime() - turn.selectedNanos;
    boolean wasLong = lastedNanos >= SHORT_TURN_NANOS;
    if (wasLong) {
      listener.turnEnded(lastedNanos / NANOS_PER_MICRO, turn.sockets);
    }
    Selector selector = runner.getSelector();
    turn.isSelecting = true;
    if (selector == null || !wasLong && !turn.pending.isWaiting()) {
      return turn.begin(super.select(runner), false);
    }
    if (selector.selectNow() > 0) {
      return turn.begin(selector.selectedKeys(), true);
    }
    // Nothing has been waiting. The look has also taken a wake-up, whose task comes first now.
    return turn.begin(Set.of(), false);
  }

  /** One selector thread's present turn. */
  private static final class Turn {
    private final PendingWork pending = new PendingWork();
    private final SelectorRunner runner;
    private volatile boolean isSelecting;
    private volatile long selectedNanos = System.nanoTime();
    private long lastSelectedNanos = selectedNanos;
    private volatile long earliestArrivalNanos = selectedNanos;
    private int sockets;

    Turn(SelectorRunner runner) {
      this.runner = runner;
    }

    boolean isBusyTooLong() {
      return !isSelecting && System.nanoTime() - earliestArrivalNanos >= LATE_NANOS;
    }

    Set<SelectionKey> begin(Set<SelectionKey> selected, boolean isWaiting) {
      lastSelectedNanos = selectedNanos;
      selectedNanos = System.nanoTime();
      isSelecting = false;
      earliestArrivalNanos = isWaiting ? lastSelectedNanos : selectedNanos;
      sockets = selected.size();
      pending.turnBegins();
      return selected;
    }

    boolean isLate() {
      return !pending.isBeginning()
          && (pending.isWaiting() || System.nanoTime() - earliestArrivalNanos >= LATE_NANOS);
    }

    void beginPending() {
      long readingNanos = System.nanoTime() - selectedNanos;
      pending.begin(Math.min(LONGEST_SLICE_NANOS, Math.max(SLICE_NANOS, readingNanos)));
    }
  }
}
