package io.umberpath.node.mesh;

import io.umberpath.model.PeerAddress;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

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

  private final ServerSocket server;
  private final Function<TransferRequest, byte[]> transferFor;
  private final ExecutorService workers =
      new ThreadPoolExecutor(
          0,
          MAX_WORKERS,
          1,
          TimeUnit.SECONDS,
          new LinkedBlockingQueue<>(MAX_QUEUED),
          StateServer::daemon,
          new ThreadPoolExecutor.DiscardPolicy());

  private StateServer(ServerSocket server, Function<TransferRequest, byte[]> transferFor) {
    this.server = server;
    this.transferFor = transferFor;
  }

  /** Starts listening. */
  static StateServer open(PeerAddress address, Function<TransferRequest, byte[]> transferFor)
      throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(address.host(), address.port()), BACKLOG);
    StateServer server = new StateServer(socket, transferFor);
    daemon(server::accept).start();
    return server;
  }

  /** The port that it listens on. */
  int port() {
    return server.getLocalPort();
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
        workers.execute(() -> serve(peer));
      } catch (IOException failed) {
        if (server.isClosed()) {
          return;
        }
      }
    }
  }

  private void serve(Socket peer) {
    try (peer) {
      peer.setSoTimeout(REQUEST_TIMEOUT_MILLIS);
      TransferRequest request = StateChangesCodec.readRequest(peer.getInputStream());
      peer.getOutputStream().write(transferFor.apply(request));
    } catch (IOException disconnected) {
      // The client logs the failed transfer and retries it, here or at another node.
      return;
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
