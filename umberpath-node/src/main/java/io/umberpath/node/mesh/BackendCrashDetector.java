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
 * Tells the end of the back end beside this node from the end of a connection to it: a new
 * connection is not accepted, or does not last, and nothing that ran there before goes on. A
 * connection that is open proves nothing, since the kernel accepts it for a process that ends; an
 * answer to a later request does. Thread-safe.
 */
final class BackendCrashDetector {
  /** All connections of a process end with it; how long the last may take, milliseconds. */
  private static final long CONNECTION_LOSS_WINDOW_MILLIS = 30;

  /**
   * How long a new connection has to last to show that a process goes on that is asked nothing,
   * milliseconds; less than back ends keep idle connections open.
   */
  private static final long MIN_PROBE_LIFETIME_MILLIS = 3_000;

  /** Asks whether a request that was sent to that start of the back end earlier still runs. */
  interface RunningRequests {
    boolean isAnySentBefore(String backendId, long atMillis);
  }

  /**
   * A back end that ended.
   *
   * @param backend id of that start of it
   * @param requests those that ran there
   */
  record Crash(String backend, Set<RequestFingerprint> requests) {}

  /** Lost requests whose cause is being found out. */
  private static final class SuspectedCrash {
    private final String backend;
    private final long sinceMillis;
    private final Set<RequestFingerprint> requests = new HashSet<>();
    private boolean unreachable;

    /** The new connection, if one opened. */
    private OriginConnection probeConnection;

    SuspectedCrash(String backend, long sinceMillis) {
      this.backend = backend;
      this.sinceMillis = sinceMillis;
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

  /** Null while nothing is suspected. */
  private SuspectedCrash suspected;

  BackendCrashDetector(ConnectionPool pool, LongSupplier clockMillis) {
    this.pool = pool;
    this.clockMillis = clockMillis;
  }

  /** The connection of a request was lost while the back end had it. */
  void connectionLost(String backend, RequestFingerprint request) {
    SuspectedCrash started = null;
    SuspectedCrash abandoned = null;
    synchronized (this) {
      if (suspected == null || !suspected.backend.equals(backend)) {
        abandoned = suspected;
        started = new SuspectedCrash(backend, clockMillis.getAsLong());
        suspected = started;
      }
      suspected.requests.add(request);
    }
    releaseProbe(abandoned);
    if (started != null) {
      pool.acquireNew(new Probe(started));
    }
  }

  /** The back end has answered a request that was sent at a moment: it had not ended by then. */
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

  /** Gives back the connection that was to tell, if one opened; not under the lock. */
  private void releaseProbe(SuspectedCrash abandoned) {
    if (abandoned != null && abandoned.probeConnection != null) {
      pool.release(abandoned.probeConnection);
    }
  }

  /** Returns the back end's end once it is certain. */
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
        || running.isAnySentBefore(decided.backend, decided.sinceMillis)) {
      return Optional.empty();
    }
    return Optional.of(new Crash(decided.backend, decided.requests));
  }

  /** Whether the new connection is still open; it replaces the one that was lost. */
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
    public void connected(OriginConnection connection) {
      synchronized (BackendCrashDetector.this) {
        if (suspected == probed) {
          probed.probeConnection = connection;
          return;
        }
      }
      pool.release(connection);
    }

    @Override
    public void notConnected(Verdict.Reason reason) {
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
