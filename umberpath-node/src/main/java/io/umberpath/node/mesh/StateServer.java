package io.umberpath.node.mesh;

import io.umberpath.model.PeerAddress;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Serves the state of this node to other nodes. A client sends the position of its own state (see
 * {@link StateChangesCodec#write}) and receives the encoded changes since then.
 */
final class StateServer implements AutoCloseable {
  private static final int BACKLOG = 64;
  private static final int MAX_WORKERS = 2;
  private static final int MAX_QUEUED = 64;

  /** How long a client may take to send its request, milliseconds. */
  private static final int REQUEST_TIMEOUT_MILLIS = 500;

  /** Time from accepting a connection to its end from which on a log line is written. */
  private static final long SLOW_MILLIS = 200;

  private final ServerSocket server;
  private final Function<TransferRequest, byte[]> transferFor;
  private final MeshEvents events;
  private final LongSupplier clockMillis;

  /** Times at which the open connections were accepted. */
  private final Map<Socket, Long> acceptedMillis = new ConcurrentHashMap<>();

  private final AtomicLong servedCount = new AtomicLong();
  private final AtomicLong droppedCount = new AtomicLong();
  private final ExecutorService workers =
      new ThreadPoolExecutor(
          0,
          MAX_WORKERS,
          1,
          TimeUnit.SECONDS,
          new LinkedBlockingQueue<>(MAX_QUEUED),
          StateServer::daemon,
          (task, executor) -> drop());

  private StateServer(
      ServerSocket server,
      Function<TransferRequest, byte[]> transferFor,
      MeshEvents events,
      LongSupplier clockMillis) {
    this.server = server;
    this.transferFor = transferFor;
    this.events = events;
    this.clockMillis = clockMillis;
  }

  /** Starts listening. */
  static StateServer open(
      PeerAddress address,
      Function<TransferRequest, byte[]> transferFor,
      MeshEvents events,
      LongSupplier clockMillis)
      throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(address.host(), address.port()), BACKLOG);
    StateServer server = new StateServer(socket, transferFor, events, clockMillis);
    daemon(server::accept).start();
    return server;
  }

  /** The port that it listens on. */
  int port() {
    return server.getLocalPort();
  }

  /** Number of open connections. */
  int connectionCount() {
    return acceptedMillis.size();
  }

  /** Age of the oldest open connection, milliseconds; 0 if there is none. */
  long oldestConnectionMillis() {
    long now = clockMillis.getAsLong();
    return acceptedMillis.values().stream().mapToLong(accepted -> now - accepted).max().orElse(0);
  }

  /** Number of requests answered. */
  long servedCount() {
    return servedCount.get();
  }

  /** Number of connections that ended without an answer or were never served. */
  long droppedCount() {
    return droppedCount.get();
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "umberpath-state");
    thread.setDaemon(true);
    return thread;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket peer = server.accept();
        acceptedMillis.put(peer, clockMillis.getAsLong());
        workers.execute(() -> serve(peer));
      } catch (IOException failed) {
        if (server.isClosed()) {
          return;
        }
      }
    }
  }

  private void drop() {
    droppedCount.incrementAndGet();
    events.stateConnectionDropped("queue is full", connectionCount());
  }

  private void serve(Socket peer) {
    StateRequestTimes times = new StateRequestTimes(clockMillis, acceptedMillis.get(peer));
    try (peer) {
      times.started();
      peer.setSoTimeout(REQUEST_TIMEOUT_MILLIS);
      TransferRequest request = StateChangesCodec.readRequest(peer.getInputStream());
      times.requestRead();
      peer.getOutputStream().write(transferFor.apply(request));
      servedCount.incrementAndGet();
      logIfSlow(peer, times, "served");
    } catch (IOException disconnected) {
      // The client logs the failed transfer and retries it, here or at another node.
      droppedCount.incrementAndGet();
      logIfSlow(peer, times, String.valueOf(disconnected.getMessage()));
    } finally {
      acceptedMillis.remove(peer);
    }
  }

  private void logIfSlow(Socket peer, StateRequestTimes times, String outcome) {
    if (times.totalMillis() >= SLOW_MILLIS) {
      events.stateRequestSlow(
          peer.getInetAddress().getHostAddress(), outcome, times, connectionCount());
    }
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException ignored) {
      // A failure to close the listener has no effect on the shutdown.
      return;
    } finally {
      workers.shutdownNow();
    }
  }
}
