package io.umberpath.node.proxy.origin;

import com.google.common.flogger.FluentLogger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * Runs what follows from the end of a connection in a turn of its own on that connection's selector
 * thread, never within the event or write that found out.
 */
public final class OwnTurn {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

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
              runGuarded(task);
              return true;
            },
            null);
  }

  /** A task that throws must not end the selector thread, nor what waits behind it. */
  private static void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error fault) {
      logger.atSevere().withCause(fault).log("end of a connection was not handled");
    }
  }
}
