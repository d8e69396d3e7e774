package io.umberpath.node;

import io.umberpath.node.cli.CommandLine;
import io.umberpath.node.cli.Output;

/** Entry point of {@code umberpath}. */
public final class Main {
  private Main() {}

  /** Runs the command named by the arguments. */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(Output.ofProcess()).run(arguments).number());
  }
}
