package io.umberpath.node.cli;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Selects the subcommand, parses its options and runs it. */
public final class CommandLine {
  private static final int WIDTH = 100;
  private static final List<Entry> ENTRIES =
      List.of(
          new Entry("node", "run a node of the mesh", NodeCommand::new),
          new Entry("apply", "apply a change file: routes, pools, secrets", ApplyCommand::new),
          new Entry("get", "show one resource", GetCommand::new),
          new Entry("list", "list resources", ListCommand::new),
          new Entry("wait", "wait until a version is in force everywhere", WaitCommand::new),
          new Entry("status", "show the fleet", StatusCommand::new),
          new Entry(
              "explain",
              "say where a request goes, or what became of a change",
              ExplainCommand::new),
          new Entry("drain", "start or end the draining of back ends", DrainCommand::new),
          new Entry("reform", "re-form a fleet that lost its quorum", ReformCommand::new),
          new Entry("trace", "tell a request's story from nodes' logs", TraceCommand::new),
          new Entry("losses", "count lost requests in nodes' logs", LossesCommand::new),
          new Entry("check-config", "check a settings file", CheckConfigCommand::new),
          new Entry("version", "print the version of this program", VersionCommand::new));

  private final Output output;

  /** Creates a command line that writes to the given streams. */
  public CommandLine(Output output) {
    this.output = output;
  }

  private record Entry(String name, String summary, Supplier<Command> command) {}

  /** Runs the subcommand named by the first argument. */
  public ExitCode run(String... arguments) {
    if (arguments.length == 0) {
      printCommands(false);
      return ExitCode.USAGE;
    }
    String name = arguments[0];
    if (name.equals("--help") || name.equals("-h") || name.equals("help")) {
      return help(arguments);
    }
    Optional<Entry> entry = find(name);
    if (entry.isEmpty()) {
      output.err().println("umberpath: no command '" + name + "'");
      printCommands(false);
      return ExitCode.USAGE;
    }
    return run(entry.get(), Arrays.asList(arguments).subList(1, arguments.length));
  }

  private static Optional<Entry> find(String name) {
    return ENTRIES.stream().filter(entry -> entry.name().equals(name)).findFirst();
  }

  private ExitCode help(String[] arguments) {
    Optional<Entry> entry = arguments.length > 1 ? find(arguments[1]) : Optional.empty();
    if (entry.isPresent()) {
      return run(entry.get(), List.of("--help"));
    }
    printCommands(true);
    return ExitCode.OK;
  }

  private ExitCode run(Entry entry, List<String> arguments) {
    Command command = entry.command().get();
    CmdLineParser parser =
        new CmdLineParser(
            command,
            ParserProperties.defaults()
                .withUsageWidth(WIDTH)
                .withOptionSorter(null)
                .withShowDefaults(false));
    try {
      parser.parseArgument(arguments);
      if (command.wantsHelp()) {
        output.out().println("umberpath " + entry.name() + ": " + entry.summary());
        output.out().println();
        output.out().print("usage: umberpath " + entry.name());
        parser.printSingleLineUsage(output.out());
        output.out().println();
        parser.printUsage(output.out());
        return ExitCode.OK;
      }
      return command.run(output);
    } catch (CmdLineException | UsageException invalid) {
      output.err().println("umberpath " + entry.name() + ": " + invalid.getMessage());
      output.err().println("try: umberpath " + entry.name() + " --help");
      return ExitCode.USAGE;
    }
  }

  private void printCommands(boolean helpRequested) {
    var stream = helpRequested ? output.out() : output.err();
    stream.println("usage: umberpath COMMAND [OPTIONS]");
    stream.println();
    for (Entry entry : ENTRIES) {
      stream.printf("  %-13s %s%n", entry.name(), entry.summary());
    }
    stream.printf("  %-13s %s%n", "demo", "start a whole mesh on this machine and change it");
    stream.println();
    stream.println("umberpath COMMAND --help tells its options.");
    stream.println(
        "Exit codes: 0 done, 1 refused (not run), 2 wrong usage or file, 3 may have run,");
    stream.println("4 unavailable (not run).");
  }
}
