package io.umberpath.node.cli;

import io.umberpath.node.settings.NodeSettings;
import io.umberpath.node.settings.SettingsProblem;
import io.vavr.control.Either;
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
    output.err().println("umberpath node: the process is not wired yet");
    return ExitCode.REFUSED;
  }
}
