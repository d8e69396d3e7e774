package io.umberpath.lab;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Entry point of {@code umberpath-lab}. */
public final class Main {
  private static final int USAGE_WIDTH = 100;
  private static final List<String> HELP = List.of("--help", "-h", "help");

  private Main() {}

  /** Runs the command named by the arguments and exits with its code. */
  public static void main(String[] arguments) {
    System.exit(run(arguments, System.out, System.err));
  }

  /** Runs the command named by the arguments; returns its exit code. */
  static int run(String[] arguments, PrintStream out, PrintStream err) {
    if (arguments.length == 0) {
      printCommands(err);
      return LabCommand.USAGE;
    }
    if (HELP.contains(arguments[0])) {
      printCommands(out);
      return LabCommand.SUCCESS;
    }
    Optional<LabCommands.Entry> entry = LabCommands.find(arguments[0]);
    if (entry.isEmpty()) {
      err.println("umberpath-lab: no command '" + arguments[0] + "'");
      printCommands(err);
      return LabCommand.USAGE;
    }
    return run(entry.get(), Arrays.copyOfRange(arguments, 1, arguments.length), out, err);
  }

  private static int run(
      LabCommands.Entry entry, String[] options, PrintStream out, PrintStream err) {
    LabCommand command = entry.factory().get();
    CmdLineParser parser =
        new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH));
    if (Arrays.stream(options).anyMatch(HELP::contains)) {
      printOptions(entry, parser, out);
      return LabCommand.SUCCESS;
    }
    try {
      parser.parseArgument(options);
    } catch (CmdLineException failure) {
      err.println("umberpath-lab " + entry.name() + ": " + failure.getMessage());
      printOptions(entry, parser, err);
      return LabCommand.USAGE;
    }
    try {
      return command.run(out);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return LabCommand.FAILURE;
    } catch (Exception failure) {
      err.println("umberpath-lab " + entry.name() + ": " + failure);
      return LabCommand.FAILURE;
    }
  }

  private static void printCommands(PrintStream to) {
    to.println("usage: umberpath-lab COMMAND [OPTIONS]");
    to.println("'umberpath-lab COMMAND --help' lists the options of a command.");
    to.println();
    for (LabCommands.Entry entry : LabCommands.all()) {
      to.printf("  %-10s %s%n", entry.name(), entry.summary());
    }
  }

  private static void printOptions(LabCommands.Entry entry, CmdLineParser parser, PrintStream to) {
    to.println("usage: umberpath-lab " + entry.name() + " [OPTIONS]");
    to.println(entry.summary());
    to.println();
    parser.printUsage(to);
  }
}
