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
  private static final long CLIENT_NOTICE_MILLIS = 2_200;

  /**
   * When callers that come all the same are refused: what they want might not finish. While the
   * back end beside this node works on a request, which may depend on calls that it makes, {@link
   * LateRequests} tells which.
   */
  private static final long CLIENTS_REFUSED_MILLIS = 2_800;

  /**
   * Time before the cut-off from which those calls are refused, too, and callers' connections are
   * not accepted any more.
   */
  private static final long NESTED_CALLS_REFUSED_RESERVE_MILLIS = 1_000;

  /** When other nodes are told; until then this node works on for its back end. */
  private static final long PEERS_NOTIFIED_MILLIS = 1_400;

  /** When requests of other nodes are refused, all of which have heard by then. */
  private static final long PEERS_REFUSED_MILLIS = 1_800;

  /** Work may be broken off in the last part of the grace time, which is divided by this. */
  private static final int CUT_OFF_RESERVE_DIVISOR = 6;

  /** Longest time before the kill at which what is left is cut off, milliseconds. */
  private static final long MAX_CUT_OFF_RESERVE_MILLIS = 1_000;

  /**
   * Time after that in which refusals are written and answers that are on their way arrive; the
   * rest is for the end of the process.
   */
  private static final long FLUSH_MILLIS = 300;

  private static final long CHECK_INTERVAL_MILLIS = 20;
  private static final long MIN_IDLE_MILLIS = 150;

  private final MeshProxy proxy;
  private final LocalBackend backend;
  private final Runnable notifyPeers;
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
      Runnable notifyPeers,
      MeshEvents events,
      LongSupplier clockMillis) {
    this.proxy = proxy;
    this.backend = backend;
    this.notifyPeers = notifyPeers;
    this.events = events;
    this.clockMillis = clockMillis;
  }

  /**
   * Stops; returns when nothing is in flight any more, or what is left was cut off.
   *
   * @param graceMillis time until the process is killed, milliseconds
   */
  void run(long graceMillis) throws InterruptedException {
    long startMillis = clockMillis.getAsLong();
    events.stopping(proxy.inFlight());
    long cutOffReserveMillis =
        Math.min(MAX_CUT_OFF_RESERVE_MILLIS, graceMillis / CUT_OFF_RESERVE_DIVISOR);
    long cutOffMillis = startMillis + graceMillis - cutOffReserveMillis;
    proxy.refuseLateClientRequests(startMillis + CLIENTS_REFUSED_MILLIS, cutOffMillis);
    awaitIdle(startMillis, cutOffMillis);
    // From here on nothing is sent on: it might have no time to be answered.
    backend.startDraining();
    proxy.refuseClientRequests();
    proxy.endConnections(cutOffMillis);
    int inFlightAtEnd = proxy.inFlight();
    int cutOff = proxy.abortAll();
    int stillResponding = proxy.inFlight();
    int refused = Math.max(0, inFlightAtEnd - cutOff - stillResponding);
    proxy.endConnections(cutOffMillis + FLUSH_MILLIS);
    cutOff += proxy.inFlight();
    long elapsedMillis = clockMillis.getAsLong() - startMillis;
    events.stopped(
        cutOff, refused, proxy.openIncomingConnections(), proxy.unwrittenBytes(), elapsedMillis);
  }

  /** Returns when callers have noticed and nothing is in flight any more, or at the bound. */
  private void awaitIdle(long startMillis, long endMillis) throws InterruptedException {
    boolean peersNotified = false;
    long idleSinceMillis = startMillis;
    while (clockMillis.getAsLong() < endMillis) {
      long now = clockMillis.getAsLong();
      if (!peersNotified && now >= startMillis + PEERS_NOTIFIED_MILLIS) {
        peersNotified = true;
        notifyPeers.run();
      }
      if (now >= startMillis + PEERS_REFUSED_MILLIS) {
        backend.startDraining();
      }
      if (now >= startMillis + CLIENTS_REFUSED_MILLIS) {
        refuseClientRequests(now >= endMillis - NESTED_CALLS_REFUSED_RESERVE_MILLIS);
      }
      idleSinceMillis = proxy.inFlight() > 0 ? now : idleSinceMillis;
      if (now >= startMillis + CLIENT_NOTICE_MILLIS && now >= idleSinceMillis + MIN_IDLE_MILLIS) {
        return;
      }
      Thread.sleep(CHECK_INTERVAL_MILLIS);
    }
  }

  /** Refuses callers, unless the back end is at work and there is time for the calls it makes. */
  private void refuseClientRequests(boolean isTooLateForNestedCalls) {
    if (isTooLateForNestedCalls) {
      // A connection that comes now may lie unread until the process has gone.
      proxy.closeOutboundListener();
    }
    if (isTooLateForNestedCalls || !proxy.isBackendBusy()) {
      proxy.refuseClientRequests();
    }
  }
}
