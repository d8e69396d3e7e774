package io.umberpath.node.mesh;

import java.util.function.LongSupplier;

/**
 * A planned stop of a node that says it is not ready, in steps, each of which ends by an event or
 * at its bound:
 *
 * <ol>
 *   <li>Callers notice, other nodes are told; what comes is still served.
 *   <li>What still comes is refused as not run; what is in flight finishes, with the calls that the
 *       back end makes for it.
 *   <li>Nothing is in flight: listeners and connections end in order, see {@link
 *       io.umberpath.node.proxy.inbound.ConnectionDrain}.
 * </ol>
 */
final class PlannedStop {
  /** How long callers have to notice that this node leaves: two questions, a second apart. */
  private static final long CALLER_NOTICE_MILLIS = 2_200;

  /**
   * When callers that come all the same are refused: what they want might not finish. While the
   * back end beside this node works on a request, which may depend on calls that it makes, {@link
   * LateRequests} tells which.
   */
  private static final long CALLERS_REFUSED_MILLIS = 2_800;

  /**
   * Time before the cut-off from which those calls are refused, too, and callers' connections are
   * not accepted any more.
   */
  private static final long CALLS_REFUSED_RESERVE_MILLIS = 1_000;

  /** When other nodes are told; until then this node works on for its back end. */
  private static final long PEERS_TOLD_MILLIS = 1_400;

  /** When requests of other nodes are refused, all of which have heard by then. */
  private static final long PEERS_REFUSED_MILLIS = 1_800;

  /** Work may be broken off in the last part of the grace time, which is divided by this. */
  private static final int LAST_PART_DIVISOR = 6;

  /** Longest time before the kill at which what is left is cut off, milliseconds. */
  private static final long MAX_CUT_OFF_RESERVE_MILLIS = 1_000;

  /**
   * Time after that in which refusals are written and answers that are on their way arrive; the
   * rest is for the end of the process.
   */
  private static final long FLUSH_MILLIS = 300;

  private static final long STOP_CHECK_MILLIS = 20;
  private static final long QUIET_MILLIS = 150;

  private final MeshProxy proxy;
  private final LocalBackend backend;
  private final Runnable tellPeers;
  private final MeshEvents events;
  private final LongSupplier clockMillis;

  /**
   * Creates a stop that has not begun.
   *
   * @param tellPeers tells the other nodes that the back end beside this one takes no new work
   */
  PlannedStop(
      MeshProxy proxy,
      LocalBackend backend,
      Runnable tellPeers,
      MeshEvents events,
      LongSupplier clockMillis) {
    this.proxy = proxy;
    this.backend = backend;
    this.tellPeers = tellPeers;
    this.events = events;
    this.clockMillis = clockMillis;
  }

  /**
   * Stops; returns when nothing is in flight any more, or what is left was cut off.
   *
   * @param graceMillis time until the process is killed, milliseconds
   */
  void run(long graceMillis) throws InterruptedException {
    long began = clockMillis.getAsLong();
    events.stopping(proxy.inFlight());
    long cutOffReserve = Math.min(MAX_CUT_OFF_RESERVE_MILLIS, graceMillis / LAST_PART_DIVISOR);
    long cutOffMillis = began + graceMillis - cutOffReserve;
    proxy.refuseLateCallers(began + CALLERS_REFUSED_MILLIS, cutOffMillis);
    awaitQuiet(began, cutOffMillis);
    // From here on nothing is sent on: it might have no time to be answered.
    backend.leave();
    proxy.refuseCallers();
    proxy.endConnections(cutOffMillis);
    int unanswered = proxy.inFlight();
    int cutOff = proxy.abortAll();
    int onTheirWay = proxy.inFlight();
    int refused = Math.max(0, unanswered - cutOff - onTheirWay);
    proxy.endConnections(cutOffMillis + FLUSH_MILLIS);
    cutOff += proxy.inFlight();
    long millis = clockMillis.getAsLong() - began;
    events.stopped(cutOff, refused, proxy.openCallers(), proxy.unwrittenBytes(), millis);
  }

  /** Returns when callers have noticed and nothing is in flight any more, or at the bound. */
  private void awaitQuiet(long began, long end) throws InterruptedException {
    boolean told = false;
    long quietSince = began;
    while (clockMillis.getAsLong() < end) {
      long now = clockMillis.getAsLong();
      if (!told && now >= began + PEERS_TOLD_MILLIS) {
        told = true;
        tellPeers.run();
      }
      if (now >= began + PEERS_REFUSED_MILLIS) {
        backend.leave();
      }
      if (now >= began + CALLERS_REFUSED_MILLIS) {
        refuseCallers(now >= end - CALLS_REFUSED_RESERVE_MILLIS);
      }
      quietSince = proxy.inFlight() > 0 ? now : quietSince;
      if (now >= began + CALLER_NOTICE_MILLIS && now >= quietSince + QUIET_MILLIS) {
        return;
      }
      Thread.sleep(STOP_CHECK_MILLIS);
    }
  }

  /** Refuses callers, unless the back end is at work and there is time for the calls it makes. */
  private void refuseCallers(boolean isTooLateForCalls) {
    if (isTooLateForCalls) {
      // A connection that comes now may lie unread until the process has gone.
      proxy.closeToCallers();
    }
    if (isTooLateForCalls || !proxy.isBackendAtWork()) {
      proxy.refuseCallers();
    }
  }
}
