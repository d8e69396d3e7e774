package io.umberpath.node.mesh;

import java.util.function.LongSupplier;

/**
 * Graceful shutdown of a node that already reports itself as not ready. Each step ends with its
 * event or at its time limit:
 *
 * <ol>
 *   <li>Clients notice the readiness change and other nodes are notified; new requests are still
 *       served.
 *   <li>New requests are refused as not run; requests in flight finish, including the nested calls
 *       that the backend makes for them.
 *   <li>Once nothing is in flight, listeners and connections are closed in order, see {@link
 *       io.umberpath.node.proxy.inbound.ConnectionDrain}.
 * </ol>
 */
final class GracefulShutdown {
  /**
   * Time for clients to notice that this node is draining: two readiness probes, one second apart.
   */
  private static final long CLIENT_NOTICE_MILLIS = 2_200;

  /**
   * Time after which requests that might not finish are refused. While the local backend is running
   * a request, which may depend on nested calls, {@link ShutdownRefusalPolicy} decides which ones.
   */
  private static final long CLIENTS_REFUSED_MILLIS = 2_800;

  /**
   * Time before the cut-off from which nested calls are refused too and no client connection is
   * accepted.
   */
  private static final long NESTED_CALLS_REFUSED_RESERVE_MILLIS = 1_000;

  /**
   * Time after which other nodes are notified; until then this node forwards requests to its
   * backend.
   */
  private static final long PEERS_NOTIFIED_MILLIS = 1_400;

  /** Time after which requests of other nodes are refused; all nodes have been notified by then. */
  private static final long PEERS_REFUSED_MILLIS = 1_800;

  /**
   * Requests may be cut off in the last part of the grace period, which is the period divided by
   * this.
   */
  private static final int CUT_OFF_RESERVE_DIVISOR = 6;

  /** Longest time between the cut-off and the end of the grace period, milliseconds. */
  private static final long MAX_CUT_OFF_RESERVE_MILLIS = 1_000;

  /**
   * Time after the cut-off for writing refusals and receiving responses that are already arriving;
   * the remaining time is left for the exit of the process.
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
   * Creates a shutdown that has not started.
   *
   * @param notifyPeers notifies the other nodes that the local backend accepts no new work
   */
  GracefulShutdown(
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
   * Shuts down; returns when nothing is in flight, or after the remaining requests were cut off.
   *
   * @param graceMillis time until the process is killed, milliseconds
   */
  void run(long graceMillis) throws InterruptedException {
    long startMillis = clockMillis.getAsLong();
    events.stopping(proxy.inFlight());
    long cutOffReserveMillis =
        Math.min(MAX_CUT_OFF_RESERVE_MILLIS, graceMillis / CUT_OFF_RESERVE_DIVISOR);
    long cutOffMillis = startMillis + graceMillis - cutOffReserveMillis;
    attempt(
        () -> proxy.refuseLateClientRequests(startMillis + CLIENTS_REFUSED_MILLIS, cutOffMillis));
    awaitIdle(startMillis, cutOffMillis);
    // No request is forwarded from here on: there might not be enough time for the response.
    attempt(backend::startDraining);
    attempt(proxy::refuseClientRequests);
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

  /**
   * Waits until clients have noticed the shutdown and nothing is in flight, or until the time
   * limit.
   */
  private void awaitIdle(long startMillis, long endMillis) throws InterruptedException {
    boolean peersNotified = false;
    long idleSinceMillis = startMillis;
    while (clockMillis.getAsLong() < endMillis) {
      long now = clockMillis.getAsLong();
      if (!peersNotified && now >= startMillis + PEERS_NOTIFIED_MILLIS) {
        peersNotified = true;
        attempt(notifyPeers);
      }
      if (now >= startMillis + PEERS_REFUSED_MILLIS) {
        attempt(backend::startDraining);
      }
      if (now >= startMillis + CLIENTS_REFUSED_MILLIS) {
        boolean isTooLateForNestedCalls = now >= endMillis - NESTED_CALLS_REFUSED_RESERVE_MILLIS;
        attempt(() -> refuseClientRequests(isTooLateForNestedCalls));
      }
      idleSinceMillis = proxy.inFlight() > 0 ? now : idleSinceMillis;
      if (now >= startMillis + CLIENT_NOTICE_MILLIS && now >= idleSinceMillis + MIN_IDLE_MILLIS) {
        return;
      }
      Thread.sleep(CHECK_INTERVAL_MILLIS);
    }
  }

  /** Runs a step; one that fails must not keep requests in flight from being finished. */
  private void attempt(Runnable step) {
    events.runGuarded(MeshTask.SHUTDOWN, step);
  }

  /**
   * Refuses clients' requests, unless the backend is busy and there is still time for its nested
   * calls.
   */
  private void refuseClientRequests(boolean isTooLateForNestedCalls) {
    if (isTooLateForNestedCalls) {
      // A connection accepted now might remain unread until the process has exited.
      proxy.closeOutboundListener();
    }
    if (isTooLateForNestedCalls || !proxy.isBackendBusy()) {
      proxy.refuseClientRequests();
    }
  }
}
