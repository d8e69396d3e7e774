package io.umberpath.node.proxy.turn;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Set;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * Selects, and keeps for each selector thread since when what it reads in the present turn may have
 * been waiting: the sockets that were ready before were read in the turn before, so that what is
 * read now arrived after that turn's sockets had been selected.
 */
public final class SelectorTurns extends DefaultSelectorHandler {
  /** Turns that end sooner keep nothing waiting for long enough to matter. */
  private static final long SHORT_TURN_NANOS = 5_000_000;

  private static final long NANOS_PER_MICRO = 1_000;
  private static final ThreadLocal<Turn> TURN = new ThreadLocal<>();

  private final LateTurnListener listener;

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

  /** When the selection before the present turn's was made; now if it is no selector thread. */
  static long lastSelectedNanos() {
    Turn turn = TURN.get();
    return turn == null ? System.nanoTime() : turn.lastSelectedNanos;
  }

  @Override
  public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
    Turn turn = TURN.get();
    if (turn == null) {
      turn = new Turn();
      TURN.set(turn);
    }
    long lastedNanos = System.nanoTime() - turn.selectedNanos;
    if (lastedNanos < SHORT_TURN_NANOS) {
      return turn.begin(super.select(runner));
    }
    listener.turnEnded(lastedNanos / NANOS_PER_MICRO, turn.sockets);
    Selector selector = runner.getSelector();
    if (selector == null || selector.selectNow() == 0) {
      return turn.begin(selectNew(runner));
    }
    Set<SelectionKey> waiting = turn.begin(selector.selectedKeys());
    turn.earliestArrivalNanos = turn.lastSelectedNanos;
    return waiting;
  }

  /** Nothing has been waiting: what comes from now on is not late. */
  private Set<SelectionKey> selectNew(SelectorRunner runner) throws IOException {
    // The look before has also taken a wake-up, whose task would wait for the next event.
    boolean isTaskWaiting = !runner.getPendingTasks().isEmpty();
    return isTaskWaiting ? Set.of() : super.select(runner);
  }

  private static final class Turn {
    private long selectedNanos = System.nanoTime();
    private long lastSelectedNanos = selectedNanos;
    private long earliestArrivalNanos = selectedNanos;
    private int sockets;

    Set<SelectionKey> begin(Set<SelectionKey> selected) {
      lastSelectedNanos = selectedNanos;
      selectedNanos = System.nanoTime();
      earliestArrivalNanos = selectedNanos;
      sockets = selected.size();
      return selected;
    }
  }
}
