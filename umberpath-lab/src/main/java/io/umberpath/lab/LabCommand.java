package io.umberpath.lab;

import java.io.PrintStream;

/** One subcommand of {@code umberpath-lab}; its options are args4j annotations on its fields. */
public interface LabCommand {
  /** Exit code of a run whose every statement held. */
  int SUCCESS = 0;

  /** Exit code of a run in which something promised did not hold. */
  int FAILURE = 1;

  /** Exit code for wrong arguments. */
  int USAGE = 2;

  /**
   * Runs to the end.
   *
   * @param out where results go; progress and errors go to standard error
   * @return the exit code
   * @throws Exception if the run could not be carried out
   */
  int run(PrintStream out) throws Exception;
}
