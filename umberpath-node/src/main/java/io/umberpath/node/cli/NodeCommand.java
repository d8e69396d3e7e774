package io.umberpath.node.cli;

import io.umberpath.node.NodeProcess;
import io.umberpath.node.logs.Logs;
import io.umberpath.node.settings.NodeSettings;
import java.io.IOException;
import org.kohsuke.args4j.Option;

/** Runs a node until the process receives a termination signal. */
final class NodeCommand extends SettingsCommand {
  @Option(name = "--config", metaVar = "FILE", required = true, usage = "settings file")
  private String file;

  @Override
  String file() {
    return file;
  }

  @Override
  ExitCode run(NodeSettings settings, Output output) {
    Logs.bridgeJavaUtilLogging();
    NodeProcess node = new NodeProcess(settings);
    GracefulShutdown stop = GracefulShutdown.install(node);
    return stop.closeAfterExit(runUntilEnd(node, output));
  }

  private static ExitCode runUntilEnd(NodeProcess node, Output output) {
    try {
      node.start();
      return node.awaitTermination() ? ExitCode.REFUSED : ExitCode.OK;
    } catch (IOException unavailable) {
      output.err().println("umberpath node: cannot start: " + unavailable.getMessage());
      return ExitCode.UNAVAILABLE;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return ExitCode.REFUSED;
    }
  }
}
