package io.umberpath.node.proxy.pool;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.origin.OriginConnection;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;

/**
 * Pool of connections to one address. The maximum includes connections that are being opened. The
 * most recently used idle connection is handed out first, so that the others can reach the idle
 * timeout. Thread-safe.
 */
public final class ConnectionPool {
  private static final long DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000;

  private final PeerAddress address;
  private final Connector connector;
  private final int maxConnections;
  private final LongSupplier clockMillis;
  private final long connectTimeoutMillis;
  private final Deque<OriginConnection> idle = new ArrayDeque<>();
  private final Set<PendingConnection> pendingConnections = new HashSet<>();
  private final Set<OriginConnection> open = new HashSet<>();
  private long lastUsedMillis;

  /**
   * Creates an empty pool.
   *
   * @param maxConnections maximum number of connections, including those being opened
   * @param clockMillis monotonic clock, milliseconds
   */
  public ConnectionPool(
      PeerAddress address, Connector connector, int maxConnections, LongSupplier clockMillis) {
    this(address, connector, maxConnections, clockMillis, DEFAULT_CONNECT_TIMEOUT_MILLIS);
  }

  /**
   * Creates an empty pool.
   *
   * @param maxConnections maximum number of connections, including those being opened
   * @param clockMillis monotonic clock, milliseconds
   * @param connectTimeoutMillis timeout for opening a connection; enforced by {@link #expire}
   */
  public ConnectionPool(
      PeerAddress address,
      Connector connector,
      int maxConnections,
      LongSupplier clockMillis,
      long connectTimeoutMillis) {
    this.connectTimeoutMillis = connectTimeoutMillis;
    this.address = address;
    this.connector = connector;
    this.maxConnections = maxConnections;
    this.clockMillis = clockMillis;
    this.lastUsedMillis = clockMillis.getAsLong();
  }

  /** Address that the pool connects to. */
  public PeerAddress address() {
    return address;
  }

  /** Passes an idle connection to the waiter immediately, or opens a new one. */
  public void acquire(ConnectionWaiter waiter) {
    OriginConnection connection;
    synchronized (this) {
      lastUsedMillis = clockMillis.getAsLong();
      connection = pollIdle();
    }
    if (connection != null) {
      waiter.onConnected(connection);
    } else {
      acquireNew(waiter);
    }
  }

  /**
   * Opens a new connection for the waiter even if others are idle, to find out whether the address
   * accepts connections.
   */
  public void acquireNew(ConnectionWaiter waiter) {
    PendingConnection pending = null;
    synchronized (this) {
      lastUsedMillis = clockMillis.getAsLong();
      if (open.size() + pendingConnections.size() < maxConnections) {
        pending = new PendingConnection(waiter, lastUsedMillis);
        pendingConnections.add(pending);
      }
    }
    if (pending != null) {
      connector.connect(address, pending);
    } else {
      waiter.onUnavailable(Verdict.Reason.OVERLOADED);
    }
  }

  /**
   * Opens connections up to the given number in advance, so that requests need not wait for them.
   */
  public void preconnect(int count) {
    List<PendingConnection> started = new ArrayList<>();
    synchronized (this) {
      int missing = Math.min(count, maxConnections) - open.size() - pendingConnections.size();
      for (int index = 0; index < missing; index++) {
        PendingConnection pending = new PendingConnection(null, clockMillis.getAsLong());
        pendingConnections.add(pending);
        started.add(pending);
      }
    }
    started.forEach(pending -> connector.connect(address, pending));
  }

  /** Takes back a connection that can carry another attempt. */
  public synchronized void release(OriginConnection connection) {
    connection.markIdle(clockMillis.getAsLong());
    idle.addFirst(connection);
  }

  /** Returns a connection to the pool that opened it. */
  public static void returnToPool(OriginConnection connection) {
    connection.releaseHandler().accept(connection);
  }

  /**
   * Closes connections that have been idle for the given time, and fails connection attempts that
   * have exceeded the connect timeout.
   */
  public void expire(long idleMillis) {
    long now = clockMillis.getAsLong();
    List<OriginConnection> expired = new ArrayList<>();
    synchronized (this) {
      while (!idle.isEmpty() && idle.peekLast().idleSinceMillis() + idleMillis <= now) {
        expired.add(idle.pollLast());
      }
    }
    expired.forEach(OriginConnection::close);
    failOverdueConnects();
  }

  /** Fails the connection attempts that have exceeded the connect timeout. */
  public void failOverdueConnects() {
    List<PendingConnection> overdue;
    synchronized (this) {
      if (pendingConnections.isEmpty()) {
        return;
      }
      long now = clockMillis.getAsLong();
      overdue = new ArrayList<>();
      for (Iterator<PendingConnection> iterator = pendingConnections.iterator();
          iterator.hasNext(); ) {
        PendingConnection pending = iterator.next();
        if (pending.startedMillis + connectTimeoutMillis <= now) {
          iterator.remove();
          overdue.add(pending);
        }
      }
    }
    overdue.forEach(PendingConnection::notifyFailed);
  }

  /**
   * Whether the pool has not been used for the given time, and has no open or pending connections.
   */
  public synchronized boolean isUnused(long unusedMillis) {
    return open.isEmpty()
        && pendingConnections.isEmpty()
        && lastUsedMillis + unusedMillis <= clockMillis.getAsLong();
  }

  /** Number of open connections, including those in use. */
  public synchronized int openCount() {
    return open.size();
  }

  /** The open connections, including those in use. */
  public synchronized Set<OriginConnection> openConnections() {
    return Set.copyOf(open);
  }

  private OriginConnection pollIdle() {
    OriginConnection connection = idle.pollFirst();
    while (connection != null && !connection.isIdle()) {
      connection = idle.pollFirst();
    }
    return connection;
  }

  private synchronized void onClosed(OriginConnection connection) {
    open.remove(connection);
    idle.remove(connection);
  }

  /** A connection that is being opened; its waiter is null if it is opened in advance. */
  @SuppressWarnings("rawtypes") // Grizzly's own signature
  private final class PendingConnection extends EmptyCompletionHandler<Connection> {
    private final ConnectionWaiter waiter;
    private final long startedMillis;

    PendingConnection(ConnectionWaiter waiter, long startedMillis) {
      this.waiter = waiter;
      this.startedMillis = startedMillis;
    }

    @Override
    public void completed(Connection connection) {
      OriginConnection origin;
      synchronized (ConnectionPool.this) {
        if (!pendingConnections.remove(this)) {
          connection.terminateSilently();
          return;
        }
        origin =
            new OriginConnection(
                connection, ConnectionPool.this::release, ConnectionPool.this::onClosed);
        open.add(origin);
      }
      if (!connection.isOpen()) {
        // It may have closed before it was wrapped, when no handler was registered for its end.
        origin.onConnectionClosed(false);
      }
      if (waiter == null) {
        release(origin);
      } else {
        waiter.onConnected(origin);
      }
    }

    @Override
    public void failed(Throwable error) {
      synchronized (ConnectionPool.this) {
        if (!pendingConnections.remove(this)) {
          return;
        }
      }
      notifyFailed();
    }

    @Override
    public void cancelled() {
      failed(new java.util.concurrent.CancellationException());
    }

    private void notifyFailed() {
      if (waiter != null) {
        waiter.onUnavailable(Verdict.Reason.UNREACHABLE);
      }
    }
  }
}
