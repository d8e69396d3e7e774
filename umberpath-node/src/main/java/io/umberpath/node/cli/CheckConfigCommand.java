package io.umberpath.node.cli;

import io.umberpath.node.settings.NodeSettings;
import org.kohsuke.args4j.Argument;

/** Validates a settings file without starting a node. */
final class CheckConfigCommand extends SettingsCommand {
  @Argument(required = true, metaVar = "FILE", usage = "settings file")
  private String file;

  @Override
  String file() {
    return file;
  }

  @Override
  ExitCode run(NodeSettings settings, Output output) {
    output.out().println(file + ": in order");
    return ExitCode.OK;
  }
}
