package io.umberpath.lab;

/** One subcommand of {@code umberpath-lab}. */
public interface Command {
  /** Exit code of a command that found what it checked to be broken. */
  int EXIT_FAILED = 1;

  /** Exit code of a command that was called wrongly. */
  int EXIT_USAGE = 2;

  /** The word that selects it. */
  String name();

  /** One line of help. */
  String summary();

  /**
   * Runs it.
   *
   * @param arguments what follows the name
   * @return the process's exit code
   */
  int run(String[] arguments);
}
