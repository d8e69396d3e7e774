package io.umberpath.node.proxy.origin;

import io.umberpath.node.proxy.loop.EventLoop;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * Runs what follows from the end of a connection in a turn of its own on that connection's selector
 * thread, never within the event or write that found out.
 */
public final class OwnTurn {
  private OwnTurn() {}

  /** Runs the task soon; at once if the connection has no selector thread. */
  public static void run(Connection<?> connection, Runnable task) {
    SelectorRunner runner =
        connection instanceof NIOConnection nio ? nio.getSelectorRunner() : null;
    if (runner == null) {
      task.run();
      return;
    }
    // The transport reports a failed write while the thread's direct buffer still holds the bytes
    // of that write: what is written from within the report would go out behind them.
    ((NIOTransport) connection.getTransport())
        .getSelectorHandler()
        .enque(
            runner,
            () -> {
              EventLoop.runGuarded(task, "end of a connection was not handled");
              return true;
            },
            null);
  }
}
