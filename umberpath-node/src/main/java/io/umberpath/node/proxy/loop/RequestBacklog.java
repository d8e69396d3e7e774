package io.umberpath.node.proxy.loop;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * New requests that wait for the event loop, first come, first served. Once requests have been left
 * over for longer than {@link #STANDING_NANOS}, more arrive than can be served, and the backlog
 * stands: serving the oldest would make every request late. The newest is then served first (<a
 * href="https://queue.acm.org/detail.cfm?id=2839461">adaptive LIFO with controlled delay</a>), and
 * what has waited for as long is refused, early enough to be tried again.
 */
final class RequestBacklog {
  /**
   * How long requests are left over before the backlog counts as standing: longer than a pause of
   * the thread or a burst of requests usually takes to be worked off.
   */
  static final long STANDING_NANOS = 100_000_000;

  private record Entry(NewRequest request, long addedNanos) {}

  private final Deque<Entry> due = new ArrayDeque<>();
  private final List<Entry> added = new ArrayList<>();
  private final Random random;
  private boolean hasLeftovers;
  private long leftoversSinceNanos;

  RequestBacklog(Random random) {
    this.random = random;
  }

  void add(NewRequest request, long nowNanos) {
    added.add(new Entry(request, nowNanos));
  }

  boolean isEmpty() {
    return due.isEmpty() && added.isEmpty();
  }

  boolean hasDue() {
    return !due.isEmpty();
  }

  /**
   * Called when input is about to be read: what was added before can be served after that. Sockets
   * are read in the same order in each iteration; those read last must not always be preferred.
   */
  void onIterationStart(long nowNanos) {
    if (isStanding(nowNanos)) {
      Collections.shuffle(added, random);
    }
    due.addAll(added);
    added.clear();
  }

  /** Removes the request to serve next; there must be one that is due. */
  NewRequest takeNext(long nowNanos) {
    return (isStanding(nowNanos) ? due.removeLast() : due.removeFirst()).request();
  }

  /** Called when the time slice is over. */
  void onSliceEnd(long nowNanos) {
    if (due.isEmpty()) {
      hasLeftovers = false;
    } else if (!hasLeftovers) {
      hasLeftovers = true;
      leftoversSinceNanos = nowNanos;
    }
  }

  /** Whether requests have been left over for so long that the newest is served first. */
  boolean isStanding(long nowNanos) {
    return hasLeftovers && nowNanos - leftoversSinceNanos >= STANDING_NANOS;
  }

  /** How long the oldest request has waited if the backlog stands; otherwise 0. */
  long standingWaitNanos(long nowNanos) {
    boolean isWaiting = !due.isEmpty() && isStanding(nowNanos);
    return isWaiting ? nowNanos - due.getFirst().addedNanos() : 0;
  }

  /** Whether the oldest request has been overtaken for so long that it is refused. */
  boolean hasOvertaken(long nowNanos) {
    return !due.isEmpty()
        && isStanding(nowNanos)
        && nowNanos - due.getFirst().addedNanos() >= STANDING_NANOS;
  }

  /**
   * Refuses the oldest request.
   *
   * @return how long it has waited, milliseconds
   */
  long refuseOldest(long nowNanos) {
    Entry oldest = due.removeFirst();
    long waitedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - oldest.addedNanos());
    DeferredTasks.runGuarded(() -> oldest.request().refuse(waitedMillis));
    return waitedMillis;
  }
}
