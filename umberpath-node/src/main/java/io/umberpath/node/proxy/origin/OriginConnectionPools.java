package io.umberpath.node.proxy.origin;

import io.umberpath.model.PeerAddress;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.proxy.pool.Connector;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/** Connection pools for other nodes, one per address; unused pools are removed. Thread-safe. */
public final class OriginConnectionPools {
  private static final int MAX_CONNECTIONS_PER_NODE = 256;
  private static final long UNUSED_POOL_MILLIS = 60_000;
  private static final long DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000;

  private final Connector connector;
  private final LongSupplier clockMillis;
  private final long connectTimeoutMillis;
  private final Map<PeerAddress, ConnectionPool> pools = new ConcurrentHashMap<>();

  /** Creates a manager without pools. */
  public OriginConnectionPools(Connector connector, LongSupplier clockMillis) {
    this(connector, clockMillis, DEFAULT_CONNECT_TIMEOUT_MILLIS);
  }

  /**
   * Creates a manager without pools.
   *
   * @param connectTimeoutMillis timeout for opening a connection
   */
  public OriginConnectionPools(
      Connector connector, LongSupplier clockMillis, long connectTimeoutMillis) {
    this.connectTimeoutMillis = connectTimeoutMillis;
    this.connector = connector;
    this.clockMillis = clockMillis;
  }

  /** Returns the pool of an address, and creates it if needed. */
  public ConnectionPool poolOf(PeerAddress address) {
    ConnectionPool pool = pools.get(address);
    return pool != null ? pool : pools.computeIfAbsent(address, this::newPool);
  }

  private ConnectionPool newPool(PeerAddress address) {
    return new ConnectionPool(
        address, connector, MAX_CONNECTIONS_PER_NODE, clockMillis, connectTimeoutMillis);
  }

  /** Closes connections that have been idle for the given time, and removes unused pools. */
  public void expire(long idleMillis) {
    for (ConnectionPool pool : pools.values()) {
      pool.expire(idleMillis);
    }
    pools.values().removeIf(pool -> pool.isUnused(UNUSED_POOL_MILLIS));
  }

  /** Number of open connections, including those in use. */
  public int openCount() {
    return pools.values().stream().mapToInt(ConnectionPool::openCount).sum();
  }

  /** Fails the connection attempts that have exceeded the connect timeout. */
  public void failOverdueConnects() {
    pools.values().forEach(ConnectionPool::failOverdueConnects);
  }
}
