package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.origin.OriginConnection;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.proxy.pool.ConnectionWaiter;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Distinguishes a crash of the local backend from the loss of a single connection to it. After a
 * crash, a new connection is refused or closes soon, and every connection that was open before is
 * closed, so that no request sent on one is still running. A backend that is full resets new
 * connections too, but keeps others. A new connection that is accepted does not prove that the
 * process is alive, because the kernel still accepts connections for a process that is exiting; a
 * response to a later request does. Thread-safe.
 */
final class BackendCrashDetector {
  /** Longest time over which the connections of an exiting process close, milliseconds. */
  private static final long CONNECTION_LOSS_WINDOW_MILLIS = 30;

  /**
   * How long an idle new connection must stay open to show that the process is alive, milliseconds.
   * Shorter than the time for which backends keep idle connections open.
   */
  private static final long MIN_PROBE_LIFETIME_MILLIS = 3_000;

  /**
   * Tells whether a request sent to a start of the backend before a given time is still running.
   */
  interface RunningRequests {
    boolean isAnySentBefore(String backendId, long atMillis);
  }

  /**
   * A crash of the backend.
   *
   * @param backend id of the crashed start of the backend
   * @param requests the requests that were running on it
   */
  record Crash(String backend, Set<RequestFingerprint> requests) {}

  /** Requests lost with their connections, while it is still open whether the backend crashed. */
  private static final class SuspectedCrash {
    private final String backend;
    private final long sinceMillis;
    private final Set<RequestFingerprint> requests = new HashSet<>();

    /**
     * Connections that were open when the first one was lost; the end of the process closes all.
     */
    private final Set<OriginConnection> earlierConnections;

    private boolean unreachable;

    /** The probe connection; null until it is established. */
    private OriginConnection probeConnection;

    SuspectedCrash(String backend, long sinceMillis, Set<OriginConnection> earlierConnections) {
      this.backend = backend;
      this.sinceMillis = sinceMillis;
      this.earlierConnections = earlierConnections;
    }

    boolean hasOpenEarlierConnection() {
      return earlierConnections.stream().anyMatch(OriginConnection::isOpen);
    }

    boolean isDecidable(long nowMillis) {
      long waitedMillis = nowMillis - sinceMillis;
      boolean isOpen = probeConnection != null && probeConnection.isIdle();
      return isOpen
          ? waitedMillis >= MIN_PROBE_LIFETIME_MILLIS
          : waitedMillis >= CONNECTION_LOSS_WINDOW_MILLIS
              && (unreachable || probeConnection != null);
    }
  }

  private final ConnectionPool pool;
  private final LongSupplier clockMillis;

  /** Null while no crash is suspected. */
  private SuspectedCrash suspected;

  BackendCrashDetector(ConnectionPool pool, LongSupplier clockMillis) {
    this.pool = pool;
    this.clockMillis = clockMillis;
  }

  /**
   * Records that the connection of a running request was lost, and opens a probe connection if this
   * start of the backend was not suspected yet.
   */
  void connectionLost(String backend, RequestFingerprint request) {
    SuspectedCrash started = null;
    SuspectedCrash abandoned = null;
    synchronized (this) {
      if (suspected == null || !suspected.backend.equals(backend)) {
        abandoned = suspected;
        started = new SuspectedCrash(backend, clockMillis.getAsLong(), pool.openConnections());
        suspected = started;
      }
      suspected.requests.add(request);
    }
    releaseProbe(abandoned);
    if (started != null) {
      pool.acquireNew(new Probe(started));
    }
  }

  /** Records a response to a request sent at the given time: the backend was alive at that time. */
  void responseReceived(String backend, long sentMillis) {
    SuspectedCrash abandoned;
    synchronized (this) {
      boolean provesAlive =
          suspected != null
              && suspected.backend.equals(backend)
              && sentMillis > suspected.sinceMillis;
      if (!provesAlive) {
        return;
      }
      abandoned = suspected;
      suspected = null;
    }
    releaseProbe(abandoned);
  }

  /**
   * Returns the probe connection, if it was established, to the pool. Must not be called while
   * holding the lock.
   */
  private void releaseProbe(SuspectedCrash abandoned) {
    if (abandoned != null && abandoned.probeConnection != null) {
      pool.release(abandoned.probeConnection);
    }
  }

  /** Returns the crash once it is certain. */
  Optional<Crash> pollCrash(RunningRequests running) {
    SuspectedCrash decided;
    synchronized (this) {
      if (suspected == null || !suspected.isDecidable(clockMillis.getAsLong())) {
        return Optional.empty();
      }
      decided = suspected;
      suspected = null;
    }
    if (releaseIfStillOpen(decided)
        || decided.hasOpenEarlierConnection()
        || running.isAnySentBefore(decided.backend, decided.sinceMillis)) {
      return Optional.empty();
    }
    return Optional.of(new Crash(decided.backend, decided.requests));
  }

  /** Whether a crash is suspected and not decided yet. */
  synchronized boolean isCrashSuspected() {
    return suspected != null;
  }

  /**
   * Returns whether the probe connection is still open; if so, hands it to the pool in place of the
   * lost connection.
   */
  private boolean releaseIfStillOpen(SuspectedCrash decided) {
    boolean isOpen = decided.probeConnection != null && decided.probeConnection.isIdle();
    if (isOpen) {
      pool.release(decided.probeConnection);
    }
    return isOpen;
  }

  private synchronized void dismiss(SuspectedCrash probed) {
    if (suspected == probed) {
      suspected = null;
    }
  }

  private final class Probe implements ConnectionWaiter {
    private final SuspectedCrash probed;

    Probe(SuspectedCrash probed) {
      this.probed = probed;
    }

    @Override
    public void onConnected(OriginConnection connection) {
      synchronized (BackendCrashDetector.this) {
        if (suspected == probed) {
          probed.probeConnection = connection;
          return;
        }
      }
      pool.release(connection);
    }

    @Override
    public void onUnavailable(Verdict.Reason reason) {
      if (reason != Verdict.Reason.UNREACHABLE) {
        dismiss(probed);
        return;
      }
      synchronized (BackendCrashDetector.this) {
        probed.unreachable = true;
      }
    }
  }
}
