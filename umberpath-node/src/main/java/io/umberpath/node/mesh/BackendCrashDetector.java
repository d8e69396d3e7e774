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
  private static final long GATHER_MILLIS = 30;

  /**
   * How long a new connection has to last to show that a process goes on that is asked nothing,
   * milliseconds; less than back ends keep idle connections open.
   */
  private static final long LASTING_MILLIS = 3_000;

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

    /** The new connection, if one opened. */
    private OriginConnection opened;

    Suspected(String backend, long sinceMillis) {
      this.backend = backend;
      this.sinceMillis = sinceMillis;
    }

    boolean isTold(long nowMillis) {
      long waited = nowMillis - sinceMillis;
      boolean isOpen = opened != null && opened.isIdle();
      return isOpen
          ? waited >= LASTING_MILLIS
          : waited >= GATHER_MILLIS && (unreachable || opened != null);
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
    Suspected dropped = null;
    synchronized (this) {
      if (suspected == null || !suspected.backend.equals(backend)) {
        dropped = suspected;
        begun = new Suspected(backend, clockMillis.getAsLong());
        suspected = begun;
      }
      suspected.requests.add(request);
    }
    giveBack(dropped);
    if (begun != null) {
      pool.acquireNew(new Probe(begun));
    }
  }

  /** The back end has answered a request that was sent at a moment: it had not ended by then. */
  void answered(String backend, long sentMillis) {
    Suspected dropped;
    synchronized (this) {
      boolean isProof =
          suspected != null
              && suspected.backend.equals(backend)
              && sentMillis > suspected.sinceMillis;
      if (!isProof) {
        return;
      }
      dropped = suspected;
      suspected = null;
    }
    giveBack(dropped);
  }

  /** Gives back the connection that was to tell, if one opened; not under the lock. */
  private void giveBack(Suspected dropped) {
    if (dropped != null && dropped.opened != null) {
      pool.release(dropped.opened);
    }
  }

  /** Returns the back end's end once it is certain. */
  Optional<Crash> tick(Running running) {
    Suspected ripe;
    synchronized (this) {
      if (suspected == null || !suspected.isTold(clockMillis.getAsLong())) {
        return Optional.empty();
      }
      ripe = suspected;
      suspected = null;
    }
    if (lasts(ripe) || running.isAnySentBefore(ripe.backend, ripe.sinceMillis)) {
      return Optional.empty();
    }
    return Optional.of(new Crash(ripe.backend, ripe.requests));
  }

  /** Whether the new connection is still open; it replaces the one that was lost. */
  private boolean lasts(Suspected ripe) {
    boolean lasts = ripe.opened != null && ripe.opened.isIdle();
    if (lasts) {
      pool.release(ripe.opened);
    }
    return lasts;
  }

  private synchronized void lives(Suspected probed) {
    if (suspected == probed) {
      suspected = null;
    }
  }

  private final class Probe implements ConnectionWaiter {
    private final Suspected probed;

    Probe(Suspected probed) {
      this.probed = probed;
    }

    @Override
    public void connected(OriginConnection connection) {
      synchronized (BackendCrashDetector.this) {
        if (suspected == probed) {
          probed.opened = connection;
          return;
        }
      }
      pool.release(connection);
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
