package io.umberpath.node.mesh;

import io.umberpath.model.PeerAddress;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Gives what this node holds to each node that connects. */
final class StateServer implements AutoCloseable {
  private static final int BACKLOG = 64;
  private static final int MAX_WRITERS = 2;
  private static final int MAX_WAITING = 64;

  private final ServerSocket server;
  private final Supplier<StateTransfer> state;
  private final ExecutorService writers =
      new ThreadPoolExecutor(
          0,
          MAX_WRITERS,
          1,
          TimeUnit.SECONDS,
          new LinkedBlockingQueue<>(MAX_WAITING),
          StateServer::daemon,
          new ThreadPoolExecutor.DiscardPolicy());

  private StateServer(ServerSocket server, Supplier<StateTransfer> state) {
    this.server = server;
    this.state = state;
  }

  /** Listens. */
  static StateServer open(PeerAddress address, Supplier<StateTransfer> state) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(address.host(), address.port()), BACKLOG);
    StateServer server = new StateServer(socket, state);
    daemon(server::accept).start();
    return server;
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
        writers.execute(() -> give(peer));
      } catch (IOException failed) {
        if (server.isClosed()) {
          return;
        }
      }
    }
  }

  private void give(Socket peer) {
    try (peer;
        OutputStream out = new BufferedOutputStream(peer.getOutputStream())) {
      state.get().write(out);
      out.flush();
    } catch (IOException gone) {
      // The other node asks again, here or elsewhere.
      return;
    }
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException ignored) {
      // Nothing depends on how the listener ends.
      return;
    } finally {
      writers.shutdownNow();
    }
  }
}
