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
 * Connections to one address. Never holds more than its maximum, those being opened included. The
 * most recently used idle connection goes first, so that the others can age and close. Thread-safe.
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
  private int openCount;
  private long lastUsedMillis;

  /**
   * Creates an empty pool.
   *
   * @param maxConnections most connections at a time
   * @param clockMillis rising clock, milliseconds
   */
  public ConnectionPool(
      PeerAddress address, Connector connector, int maxConnections, LongSupplier clockMillis) {
    this(address, connector, maxConnections, clockMillis, DEFAULT_CONNECT_TIMEOUT_MILLIS);
  }

  /**
   * Creates an empty pool.
   *
   * @param maxConnections most connections at a time
   * @param clockMillis rising clock, milliseconds
   * @param connectTimeoutMillis how long opening a connection may take; kept by {@link #expire}
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

  /** Where its connections lead. */
  public PeerAddress address() {
    return address;
  }

  /** Gives the waiter an idle connection at once, or opens one. */
  public void acquire(ConnectionWaiter waiter) {
    OriginConnection connection;
    synchronized (this) {
      lastUsedMillis = clockMillis.getAsLong();
      connection = pollIdle();
    }
    if (connection != null) {
      waiter.connected(connection);
    } else {
      acquireNew(waiter);
    }
  }

  /** Opens a connection for the waiter, also if others are idle: tells whether somebody listens. */
  public void acquireNew(ConnectionWaiter waiter) {
    PendingConnection pending = null;
    synchronized (this) {
      lastUsedMillis = clockMillis.getAsLong();
      if (openCount + pendingConnections.size() < maxConnections) {
        pending = new PendingConnection(waiter, lastUsedMillis);
        pendingConnections.add(pending);
      }
    }
    if (pending != null) {
      connector.connect(address, pending);
    } else {
      waiter.notConnected(Verdict.Reason.OVERLOADED);
    }
  }

  /** Opens connections until the given number exists, so that no request waits for one. */
  public void preconnect(int count) {
    List<PendingConnection> started = new ArrayList<>();
    synchronized (this) {
      int missing = Math.min(count, maxConnections) - openCount - pendingConnections.size();
      for (int index = 0; index < missing; index++) {
        PendingConnection pending = new PendingConnection(null, clockMillis.getAsLong());
        pendingConnections.add(pending);
        started.add(pending);
      }
    }
    started.forEach(pending -> connector.connect(address, pending));
  }

  /** Takes back a connection whose attempt ended in perfect order. */
  public synchronized void release(OriginConnection connection) {
    connection.markIdle(clockMillis.getAsLong());
    idle.addFirst(connection);
  }

  /** Gives a connection back to the pool that opened it. */
  public static void giveBack(OriginConnection connection) {
    connection.releaseHandler().accept(connection);
  }

  /** Closes connections idle for longer, fails openings that take too long. */
  public void expire(long idleMillis) {
    long now = clockMillis.getAsLong();
    List<OriginConnection> expired = new ArrayList<>();
    synchronized (this) {
      while (!idle.isEmpty() && idle.peekLast().idleSinceMillis() + idleMillis <= now) {
        expired.add(idle.pollLast());
      }
    }
    expired.forEach(OriginConnection::close);
    giveUpLate();
  }

  /** Gives up connections that have not opened within their time. */
  public void giveUpLate() {
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

  /** Whether nobody has used it for so long, and nothing is open. */
  public synchronized boolean isUnused(long unusedMillis) {
    return openCount == 0
        && pendingConnections.isEmpty()
        && lastUsedMillis + unusedMillis <= clockMillis.getAsLong();
  }

  /** Open connections, those in use included. */
  public synchronized int openCount() {
    return openCount;
  }

  private OriginConnection pollIdle() {
    OriginConnection connection = idle.pollFirst();
    while (connection != null && !connection.isIdle()) {
      connection = idle.pollFirst();
    }
    return connection;
  }

  private synchronized void onClosed(OriginConnection connection) {
    openCount--;
    idle.remove(connection);
  }

  /** A connection being opened; its waiter is null if it is opened ahead of need. */
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
        openCount++;
        origin =
            new OriginConnection(
                connection, ConnectionPool.this::release, ConnectionPool.this::onClosed);
      }
      if (!connection.isOpen()) {
        // It may have closed before it was wrapped, when nobody listened.
        origin.onConnectionClosed(false);
      }
      if (waiter == null) {
        release(origin);
      } else {
        waiter.connected(origin);
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
        waiter.notConnected(Verdict.Reason.UNREACHABLE);
      }
    }
  }
}
