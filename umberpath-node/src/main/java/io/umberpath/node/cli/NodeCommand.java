package io.umberpath.node.cli;

import io.umberpath.node.NodeProcess;
import io.umberpath.node.logs.Logs;
import io.umberpath.node.settings.NodeSettings;
import io.umberpath.node.settings.SettingsProblem;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Runs a node until the process is told to stop. */
final class NodeCommand extends SettingsCommand {
  @Option(name = "--config", metaVar = "FILE", required = true, usage = "settings file")
  private String file;

  @Override
  ExitCode run(Output output) throws UsageException {
    Either<List<SettingsProblem>, NodeSettings> settings = load(file);
    if (settings.isLeft()) {
      return refuse(output, file, settings.getLeft());
    }
    Logs.bridgeLibraries();
    return run(new NodeProcess(settings.get()), output);
  }

  private static ExitCode run(NodeProcess node, Output output) {
    PlannedStop stop = PlannedStop.install(node);
    return stop.end(runUntilEnd(node, output));
  }

  private static ExitCode runUntilEnd(NodeProcess node, Output output) {
    try {
      node.start();
      return node.awaitEnd() ? ExitCode.REFUSED : ExitCode.OK;
    } catch (IOException unavailable) {
      output.err().println("umberpath node: cannot start: " + unavailable.getMessage());
      return ExitCode.UNAVAILABLE;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return ExitCode.REFUSED;
    }
  }
}
