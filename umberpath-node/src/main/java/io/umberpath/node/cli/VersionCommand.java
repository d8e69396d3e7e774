package io.umberpath.node.cli;

import java.util.Optional;

/** Prints the version of this program. */
final class VersionCommand extends Command {
  @Override
  ExitCode run(Output output) {
    String version = VersionCommand.class.getPackage().getImplementationVersion();
    output.out().println("umberpath " + Optional.ofNullable(version).orElse("(development)"));
    return ExitCode.OK;
  }
}
