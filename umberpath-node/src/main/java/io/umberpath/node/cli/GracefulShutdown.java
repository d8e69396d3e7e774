package io.umberpath.node.cli;

import io.umberpath.node.NodeProcess;

/**
 * Closes a node on a termination signal and exits with {@link ExitCode#OK}. A handled signal is not
 * a failure, but the JVM by default would exit with a code derived from the signal number.
 */
final class GracefulShutdown {
  private final NodeProcess node;
  private final Thread hook = new Thread(this::stop, "umberpath-stop");

  private GracefulShutdown(NodeProcess node) {
    this.node = node;
  }

  /** Registers a shutdown hook that closes the node before the process exits. */
  static GracefulShutdown install(NodeProcess node) {
    GracefulShutdown stop = new GracefulShutdown(node);
    Runtime.getRuntime().addShutdownHook(stop.hook);
    return stop;
  }

  private void stop() {
    node.close();
    Runtime.getRuntime().halt(ExitCode.OK.number());
  }

  /** Closes a node that ended without a signal, unless the shutdown hook is already doing so. */
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
