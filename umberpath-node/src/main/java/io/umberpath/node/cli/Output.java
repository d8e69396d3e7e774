package io.umberpath.node.cli;

import java.io.PrintStream;

/**
 * Output streams of a command.
 *
 * @param out results
 * @param err errors, and help after a usage error
 */
public record Output(PrintStream out, PrintStream err) {
  /** Returns the standard streams of the process. */
  public static Output ofProcess() {
    return new Output(System.out, System.err);
  }
}
