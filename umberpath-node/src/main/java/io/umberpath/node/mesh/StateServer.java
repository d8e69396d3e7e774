package io.umberpath.node.mesh;

import io.umberpath.model.PeerAddress;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Serves the state of this node to other nodes. A client sends the position of its own state (see
 * {@link StateChangesCodec#write}) and receives the encoded changes since then. One thread serves
 * all connections and blocks on none, so that a client that is paused, cut off or slow delays no
 * other.
 */
final class StateServer implements AutoCloseable {
  /** Nodes of a zone or more may connect at once, after a change or a restart. */
  private static final int BACKLOG = 256;

  /** Limit of open connections, beyond which the one without progress for longest is closed. */
  private static final int MAX_CONNECTIONS = 256;

  /** Time without progress after which a connection is closed: clients wait no longer either. */
  private static final long IDLE_TIMEOUT_MILLIS = StatePuller.TIMEOUT_MILLIS;

  /** Time between checks for idle connections while any is open, milliseconds. */
  private static final long CHECK_MILLIS = 100;

  /** Duration of a connection from which on a log line is written, milliseconds. */
  private static final long SLOW_MILLIS = 200;

  private static final long UNTIL_READY = 0;

  private final ServerSocketChannel server;
  private final Selector selector;
  private final SelectionKey acceptKey;
  private final Function<TransferRequest, byte[]> transferFor;
  private final MeshEvents events;
  private final LongSupplier clockMillis;
  private final SupervisedThread thread;
  private final Set<StateConnection> connections = ConcurrentHashMap.newKeySet();
  private final AtomicLong servedCount = new AtomicLong();
  private final AtomicLong droppedCount = new AtomicLong();
  private long lastCheckMillis;

  private StateServer(
      PeerAddress address,
      Function<TransferRequest, byte[]> transferFor,
      MeshEvents events,
      LongSupplier clockMillis)
      throws IOException {
    this.transferFor = transferFor;
    this.events = events;
    this.clockMillis = clockMillis;
    this.selector = Selector.open();
    this.server = ServerSocketChannel.open();
    server.bind(new InetSocketAddress(address.host(), address.port()), BACKLOG);
    server.configureBlocking(false);
    this.acceptKey = server.register(selector, SelectionKey.OP_ACCEPT);
    this.thread = new SupervisedThread(MeshTask.STATE, this::step, events);
  }

  /**
   * Starts listening.
   *
   * @throws IOException if the address cannot be bound
   */
  static StateServer open(
      PeerAddress address,
      Function<TransferRequest, byte[]> transferFor,
      MeshEvents events,
      LongSupplier clockMillis)
      throws IOException {
    StateServer opened = new StateServer(address, transferFor, events, clockMillis);
    opened.thread.start();
    return opened;
  }

  /** The port that it listens on. */
  int port() {
    return server.socket().getLocalPort();
  }

  /** Number of open connections. */
  int connectionCount() {
    return connections.size();
  }

  /** Age of the oldest open connection, milliseconds; 0 if there is none. */
  long oldestConnectionMillis() {
    return connections.stream().mapToLong(StateConnection::ageMillis).max().orElse(0);
  }

  /** Number of requests answered. */
  long servedCount() {
    return servedCount.get();
  }

  /** Number of connections that ended without a complete answer. */
  long droppedCount() {
    return droppedCount.get();
  }

  private void step() throws IOException {
    boolean isIdle = connections.isEmpty() && acceptKey.interestOps() != 0;
    selector.select(isIdle ? UNTIL_READY : CHECK_MILLIS);
    for (SelectionKey key : selector.selectedKeys()) {
      if (key == acceptKey) {
        accept();
      } else if (key.isValid()) {
        advance((StateConnection) key.attachment());
      }
    }
    selector.selectedKeys().clear();
    closeIdleConnections();
  }

  private void accept() {
    try {
      SocketChannel client = server.accept();
      if (client != null) {
        add(client);
      }
    } catch (IOException failure) {
      // Usually a lack of descriptors; accepting resumes with the next check.
      acceptKey.interestOps(0);
      events.transfers().acceptFailed(failure, connections.size());
    }
  }

  private void add(SocketChannel client) throws IOException {
    if (connections.size() >= MAX_CONNECTIONS) {
      longestIdle().ifPresent(idle -> drop(idle, "too many connections"));
    }
    StateConnection connection = register(client);
    connections.add(connection);
    advance(connection);
  }

  private StateConnection register(SocketChannel client) throws IOException {
    try {
      return new StateConnection(client, selector, clockMillis);
    } catch (IOException | RuntimeException | Error failure) {
      client.close();
      throw failure;
    }
  }

  private Optional<StateConnection> longestIdle() {
    return connections.stream().max(Comparator.comparingLong(StateConnection::idleMillis));
  }

  private void advance(StateConnection connection) {
    try {
      if (connection.advance(transferFor)) {
        servedCount.incrementAndGet();
        end(connection, "served");
      }
    } catch (IOException disconnected) {
      // The client logs the failed transfer and retries it, here or at another node.
      drop(connection, String.valueOf(disconnected.getMessage()));
    } catch (RuntimeException | Error fault) {
      drop(connection, "internal error");
      events.fault(MeshTask.STATE, fault);
    }
  }

  private void closeIdleConnections() {
    long now = clockMillis.getAsLong();
    if (now < lastCheckMillis + CHECK_MILLIS) {
      return;
    }
    lastCheckMillis = now;
    acceptKey.interestOps(SelectionKey.OP_ACCEPT);
    for (StateConnection connection : connections) {
      if (connection.idleMillis() >= IDLE_TIMEOUT_MILLIS) {
        drop(connection, "no progress");
      }
    }
  }

  private void drop(StateConnection connection, String reason) {
    droppedCount.incrementAndGet();
    end(connection, reason);
  }

  private void end(StateConnection connection, String outcome) {
    connections.remove(connection);
    if (connection.ageMillis() >= SLOW_MILLIS) {
      events.transfers().requestSlow(connection, outcome, connections.size());
    }
    connection.close();
  }

  @Override
  public void close() {
    thread.close();
    try {
      selector.close();
      server.close();
    } catch (IOException ignored) {
      // A failure to close the listener has no effect on the shutdown.
      return;
    } finally {
      connections.forEach(StateConnection::close);
    }
  }
}
