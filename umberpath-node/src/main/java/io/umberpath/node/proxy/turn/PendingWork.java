package io.umberpath.node.proxy.turn;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Queue;

/** Work of one selector thread that waits until a whole turn of reading has followed it. */
final class PendingWork {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private record Entry(Runnable work, long turn) {}

  private final Queue<Entry> entries = new ArrayDeque<>();
  private long turn;
  private boolean beginning;

  void add(Runnable work) {
    entries.add(new Entry(work, turn));
  }

  /** Whether there is any. */
  boolean isWaiting() {
    return !entries.isEmpty();
  }

  /** Whether it is called from work that is being begun. */
  boolean isBeginning() {
    return beginning;
  }

  /** Sockets have been selected, and are read next. */
  void turnBegins() {
    turn++;
  }

  /** Between two turns: begins what was there before the last one, for so long. */
  void begin(long sliceNanos) {
    long startNanos = System.nanoTime();
    beginning = true;
    try {
      while (isNextDue() && System.nanoTime() - startNanos < sliceNanos) {
        beginGuarded(entries.remove().work());
      }
    } finally {
      beginning = false;
    }
  }

  private boolean isNextDue() {
    Entry next = entries.peek();
    return next != null && next.turn() < turn;
  }

  /** Work that throws must not end the selector thread, nor what waits behind it. */
  static void beginGuarded(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException fault) {
      logger.atSevere().withCause(fault).log("deferred task failed");
    }
  }
}
