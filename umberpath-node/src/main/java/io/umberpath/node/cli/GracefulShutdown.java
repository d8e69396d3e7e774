package io.umberpath.node.cli;

import io.umberpath.node.NodeProcess;

/**
 * Closes a node when its process is told to end, and ends the process with {@link ExitCode#OK}: a
 * signal that was obeyed is no failure, while the JVM by itself would report the signal's number.
 */
final class GracefulShutdown {
  private final NodeProcess node;
  private final Thread hook = new Thread(this::stop, "umberpath-stop");

  private GracefulShutdown(NodeProcess node) {
    this.node = node;
  }

  /** From now on a signal closes the node before the process ends. */
  static GracefulShutdown install(NodeProcess node) {
    GracefulShutdown stop = new GracefulShutdown(node);
    Runtime.getRuntime().addShutdownHook(stop.hook);
    return stop;
  }

  private void stop() {
    node.close();
    Runtime.getRuntime().halt(ExitCode.OK.number());
  }

  /** The node has ended by itself: closes what is left of it, unless a signal does that already. */
  ExitCode closeAfterExit(ExitCode exitCode) {
    try {
      Runtime.getRuntime().removeShutdownHook(hook);
    } catch (IllegalStateException signalled) {
      return exitCode;
    }
    node.close();
    return exitCode;
  }
}
