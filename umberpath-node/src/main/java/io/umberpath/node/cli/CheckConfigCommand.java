package io.umberpath.node.cli;

import io.umberpath.node.settings.NodeSettings;
import io.umberpath.node.settings.SettingsProblem;
import io.vavr.control.Either;
import java.util.List;
import org.kohsuke.args4j.Argument;

/** Checks a settings file without starting anything. */
final class CheckConfigCommand extends SettingsCommand {
  @Argument(required = true, metaVar = "FILE", usage = "settings file")
  private String file;

  @Override
  ExitCode run(Output output) throws UsageException {
    Either<List<SettingsProblem>, NodeSettings> settings = load(file);
    if (settings.isLeft()) {
      return refuse(output, file, settings.getLeft());
    }
    output.out().println(file + ": in order");
    return ExitCode.OK;
  }
}
