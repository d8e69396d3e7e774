package io.umberpath.lab;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** A subcommand whose options are the args4j annotations of its own fields. */
public abstract class OptionsCommand implements Command {
  /** Exit code of a command whose every statement held. */
  protected static final int EXIT_SUCCESS = 0;

  private static final int USAGE_WIDTH = 100;
  private static final List<String> HELP = List.of("--help", "-h");

  @Override
  public final int run(String[] arguments) {
    CmdLineParser parser =
        new CmdLineParser(this, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH));
    if (Arrays.stream(arguments).anyMatch(HELP::contains)) {
      printUsage(parser, System.out);
      return EXIT_SUCCESS;
    }
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException failure) {
      System.err.println("umberpath-lab " + name() + ": " + failure.getMessage());
      printUsage(parser, System.err);
      return EXIT_USAGE;
    }
    return runParsed();
  }

  /**
   * Runs with the options parsed.
   *
   * @param out where results go; progress and errors go to standard error
   * @return the exit code
   * @throws Exception if the run could not be carried out
   */
  protected abstract int run(PrintStream out) throws Exception;

  private int runParsed() {
    try {
      return run(System.out);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return EXIT_FAILED;
    } catch (Exception failure) {
      System.err.println("umberpath-lab " + name() + ": " + failure);
      return EXIT_FAILED;
    }
  }

  private void printUsage(CmdLineParser parser, PrintStream to) {
    to.println("usage: umberpath-lab " + name() + " [OPTIONS]");
    to.println(summary());
    parser.printUsage(to);
  }
}
