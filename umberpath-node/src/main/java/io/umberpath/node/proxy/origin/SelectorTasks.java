package io.umberpath.node.proxy.origin;

import io.umberpath.node.proxy.loop.EventLoop;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * Runs the handling of a connection's end as a separate task on the connection's selector thread,
 * never within the event or write that detected the end.
 */
public final class SelectorTasks {
  private SelectorTasks() {}

  /** Queues the task on the selector thread; runs it immediately if the connection has none. */
  public static void runDeferred(Connection<?> connection, Runnable task) {
    SelectorRunner runner =
        connection instanceof NIOConnection nio ? nio.getSelectorRunner() : null;
    if (runner == null) {
      task.run();
      return;
    }
    // The transport reports a failed write while the thread's direct buffer still holds the bytes
    // of that write. Data written from within that callback would be sent after those bytes.
    ((NIOTransport) connection.getTransport())
        .getSelectorHandler()
        .enque(
            runner,
            () -> {
              EventLoop.runGuarded(task, "failed to handle the end of a connection");
              return true;
            },
            null);
  }
}
