package io.umberpath.node.cli;

import org.kohsuke.args4j.Option;

/** One subcommand; its options and arguments are args4j fields. An instance runs once. */
abstract class Command {
  @Option(
      name = "--help",
      aliases = {"-h"},
      help = true,
      usage = "print this help")
  private boolean help;

  /** Whether only help is wanted. */
  final boolean wantsHelp() {
    return help;
  }

  /**
   * Runs it.
   *
   * @throws UsageException if the options contradict each other
   */
  abstract ExitCode run(Output output) throws UsageException;
}
