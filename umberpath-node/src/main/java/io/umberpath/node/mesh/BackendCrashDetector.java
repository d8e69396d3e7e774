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
 * connection is not accepted, and nothing that ran there before goes on. Thread-safe.
 */
final class BackendCrashDetector {
  /** All connections of a process end with it; how long the last may take, milliseconds. */
  private static final long GATHER_MILLIS = 30;

  /** Asks whether a request that was sent to that start of the back end earlier still runs. */
  interface Running {
    boolean isAnySentBefore(String backend, long atMillis);
  }

  /**
   * A back end that ended.
   *
   * @param backend id of that start of it
   * @param requests those that ran there
   */
  record Crash(String backend, Set<RequestFingerprint> requests) {}

  /** Lost requests whose cause is being found out. */
  private static final class Suspected {
    private final String backend;
    private final long sinceMillis;
    private final Set<RequestFingerprint> requests = new HashSet<>();
    private boolean unreachable;

    Suspected(String backend, long sinceMillis) {
      this.backend = backend;
      this.sinceMillis = sinceMillis;
    }
  }

  private final ConnectionPool pool;
  private final LongSupplier clockMillis;

  /** Null while nothing is suspected. */
  private Suspected suspected;

  BackendCrashDetector(ConnectionPool pool, LongSupplier clockMillis) {
    this.pool = pool;
    this.clockMillis = clockMillis;
  }

  /** The connection of a request was lost while the back end had it. */
  void lost(String backend, RequestFingerprint request) {
    Suspected begun = null;
    synchronized (this) {
      if (suspected == null || !suspected.backend.equals(backend)) {
        begun = new Suspected(backend, clockMillis.getAsLong());
        suspected = begun;
      }
      suspected.requests.add(request);
    }
    if (begun != null) {
      pool.acquireNew(new Probe(begun));
    }
  }

  /** Returns the back end's end once it is certain. */
  Optional<Crash> tick(Running running) {
    Suspected ripe;
    synchronized (this) {
      boolean waits = suspected != null && suspected.unreachable;
      if (!waits || clockMillis.getAsLong() < suspected.sinceMillis + GATHER_MILLIS) {
        return Optional.empty();
      }
      ripe = suspected;
      suspected = null;
    }
    return running.isAnySentBefore(ripe.backend, ripe.sinceMillis)
        ? Optional.empty()
        : Optional.of(new Crash(ripe.backend, ripe.requests));
  }

  private synchronized void lives(Suspected probed) {
    if (suspected == probed) {
      suspected = null;
    }
  }

  /** A connection that opens replaces the one that was lost. */
  private final class Probe implements ConnectionWaiter {
    private final Suspected probed;

    Probe(Suspected probed) {
      this.probed = probed;
    }

    @Override
    public void connected(OriginConnection connection) {
      pool.release(connection);
      lives(probed);
    }

    @Override
    public void notConnected(Verdict.Reason reason) {
      if (reason != Verdict.Reason.UNREACHABLE) {
        lives(probed);
        return;
      }
      synchronized (BackendCrashDetector.this) {
        probed.unreachable = true;
      }
    }
  }
}
