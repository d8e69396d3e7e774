package io.umberpath.node.cli;

import org.kohsuke.args4j.Option;

/** A subcommand; its options and arguments are args4j fields. An instance runs only once. */
abstract class Command {
  @Option(
      name = "--help",
      aliases = {"-h"},
      help = true,
      usage = "print this help")
  private boolean help;

  /** Returns whether help was requested. */
  final boolean wantsHelp() {
    return help;
  }

  /**
   * Runs the subcommand.
   *
   * @throws UsageException if the options are invalid or contradict each other
   */
  abstract ExitCode run(Output output) throws UsageException;
}
