package io.umberpath.node.cli;

import java.io.PrintStream;

/**
 * Where a command writes.
 *
 * @param out results
 * @param err problems and help after a mistake
 */
public record Output(PrintStream out, PrintStream err) {
  /** The process's own streams. */
  public static Output ofProcess() {
    return new Output(System.out, System.err);
  }
}
