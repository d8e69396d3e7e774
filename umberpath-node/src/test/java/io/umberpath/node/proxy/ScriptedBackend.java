package io.umberpath.node.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A backend on raw sockets that runs a script per connection. */
final class ScriptedBackend implements AutoCloseable {
  /** Handles one accepted connection until it returns. */
  interface Script {
    void run(ScriptedBackend backend, RawConnection connection) throws IOException;
  }

  final AtomicInteger runs = new AtomicInteger();
  final AtomicInteger connections = new AtomicInteger();
  final Queue<RawConnection.Message> requests = new ConcurrentLinkedQueue<>();
  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private final ServerSocket server;
  private volatile Script script;

  ScriptedBackend(Script script) throws IOException {
    this.script = script;
    this.server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  void script(Script newScript) {
    script = newScript;
  }

  /** Responds to every request with the same raw bytes. */
  static Script respondingWith(String response) {
    return (backend, connection) -> {
      for (RawConnection.Message request = connection.read();
          request != null;
          request = connection.read()) {
        backend.ran(request);
        connection.send(response);
      }
    };
  }

  void ran(RawConnection.Message request) {
    runs.incrementAndGet();
    requests.add(request);
  }

  int port() {
    return server.getLocalPort();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        // Added before the check, so that either stop() closes the socket or this thread sees the
        // closed server.
        sockets.add(socket);
        if (server.isClosed()) {
          socket.close();
          return;
        }
        connections.incrementAndGet();
        start(() -> serve(socket));
      } catch (IOException closed) {
        return;
      }
    }
  }

  /** Stops listening and closes every connection. */
  void stop() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void serve(Socket socket) {
    try (RawConnection connection = new RawConnection(socket)) {
      script.run(this, connection);
    } catch (IOException ended) {
      // The peer closed the connection, which scripts provoke.
      return;
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "scripted-backend");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
