package io.umberpath.node.proxy.loop;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.function.LongSupplier;

/**
 * Tasks of one event loop that wait until a complete read iteration has followed their submission.
 * Work under way goes first, then new requests of other nodes, which have already spent work on
 * them, and then those of clients.
 */
final class DeferredTasks {
  /**
   * Time slice for deferred work between two read iterations. While input arrives faster than it is
   * served, the share of reading does not depend on the slice, but the delay of every step does.
   */
  private static final long SLICE_NANOS = EventLoop.SHORT_ITERATION_NANOS;

  private final LongSupplier nanoTime;
  private final IterationListener listener;
  private final Deque<Runnable> due = new ArrayDeque<>();
  private final Deque<Runnable> added = new ArrayDeque<>();
  private final RequestBacklog peers;
  private final RequestBacklog clients;
  private boolean isRunning;

  /**
   * Creates an empty queue.
   *
   * @param random decides among requests that were read in the same iteration
   */
  DeferredTasks(LongSupplier nanoTime, Random random, IterationListener listener) {
    this.nanoTime = nanoTime;
    this.listener = listener;
    this.peers = new RequestBacklog(random);
    this.clients = new RequestBacklog(random);
  }

  /** Adds a step of work under way. */
  void add(Runnable task) {
    added.add(task);
  }

  /** Adds a new request. */
  void add(NewRequest request, RequestOrigin origin) {
    if (origin == RequestOrigin.LOCAL_BACKEND) {
      add(request::begin);
    } else {
      backlogOf(origin).add(request, nanoTime.getAsLong());
    }
  }

  private RequestBacklog backlogOf(RequestOrigin origin) {
    return origin == RequestOrigin.PEER ? peers : clients;
  }

  /** How long a request of another node has waited while the backlog stands; otherwise 0. */
  long peerWaitNanos() {
    return peers.standingWaitNanos(nanoTime.getAsLong());
  }

  /** Whether new requests from there wait in a standing backlog. */
  boolean isStanding(RequestOrigin origin) {
    return origin != RequestOrigin.LOCAL_BACKEND
        && backlogOf(origin).isStanding(nanoTime.getAsLong());
  }

  /** Whether any task is waiting. */
  boolean hasTasks() {
    return !(due.isEmpty() && added.isEmpty() && peers.isEmpty() && clients.isEmpty());
  }

  /** Whether the caller is one of the tasks. */
  boolean isRunning() {
    return isRunning;
  }

  /** Called when sockets have been selected and are about to be read. */
  void onIterationStart() {
    due.addAll(added);
    added.clear();
    long nowNanos = nanoTime.getAsLong();
    peers.onIterationStart(nowNanos);
    clients.onIterationStart(nowNanos);
  }

  /**
   * Runs the tasks that were added before the last iteration, for at most about a time slice, and
   * refuses requests that were overtaken, for at most as long as the reading took: refusing a
   * request takes less time than reading it, so that refusals keep up with the reading however slow
   * the thread is.
   *
   * @param readingNanos duration of the read phase before
   */
  void run(long readingNanos) {
    isRunning = true;
    try {
      serve();
      long limitNanos = Math.max(SLICE_NANOS, readingNanos);
      refuseOvertaken(RequestOrigin.PEER, limitNanos);
      refuseOvertaken(RequestOrigin.CLIENT, limitNanos);
    } finally {
      isRunning = false;
    }
  }

  private void serve() {
    long startNanos = nanoTime.getAsLong();
    long nowNanos = startNanos;
    while (hasDue() && nowNanos - startNanos < SLICE_NANOS) {
      runGuarded(takeNext(nowNanos));
      nowNanos = nanoTime.getAsLong();
    }
    peers.onSliceEnd(nowNanos);
    clients.onSliceEnd(nowNanos);
  }

  private boolean hasDue() {
    return !due.isEmpty() || peers.hasDue() || clients.hasDue();
  }

  private Runnable takeNext(long nowNanos) {
    if (!due.isEmpty()) {
      return due.remove();
    }
    RequestBacklog backlog = peers.hasDue() ? peers : clients;
    return backlog.takeNext(nowNanos)::begin;
  }

  private void refuseOvertaken(RequestOrigin origin, long limitNanos) {
    RequestBacklog backlog = backlogOf(origin);
    long startNanos = nanoTime.getAsLong();
    long nowNanos = startNanos;
    int count = 0;
    long longestMillis = 0;
    while (backlog.hasOvertaken(nowNanos) && nowNanos - startNanos < limitNanos) {
      longestMillis = Math.max(longestMillis, backlog.refuseOldest(nowNanos));
      count++;
      nowNanos = nanoTime.getAsLong();
    }
    if (count > 0) {
      listener.requestsOvertaken(origin, count, longestMillis);
    }
  }

  static void runGuarded(Runnable task) {
    EventLoop.runGuarded(task, "deferred task failed");
  }
}
