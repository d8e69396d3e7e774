package io.umberpath.lab;

import io.umberpath.lab.backend.BackendCommand;
import io.umberpath.lab.bench.BenchCommand;
import io.umberpath.lab.demo.DemoCommand;
import io.umberpath.lab.platform.PlatformCommand;
import io.umberpath.lab.simulate.ReplayCommand;
import io.umberpath.lab.simulate.SimulateCommand;
import io.umberpath.lab.transport.IdleRelayCommand;
import io.umberpath.lab.transport.MessageSizesCommand;
import io.umberpath.lab.transport.StateMemoryCommand;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;

/** Entry point of {@code umberpath-lab}. */
public final class Main {
  private static final List<Command> COMMANDS =
      List.of(
          new DemoCommand(),
          new BenchCommand(),
          new SimulateCommand(),
          new ReplayCommand(),
          new PlatformCommand(),
          new BackendCommand(),
          new IdleRelayCommand(Main.class),
          new MessageSizesCommand(),
          new StateMemoryCommand());
  private static final List<String> HELP = List.of("--help", "-h", "help");

  private Main() {}

  /** Runs the command named by the arguments. */
  public static void main(String[] arguments) {
    System.exit(run(arguments));
  }

  private static int run(String[] arguments) {
    for (Command command : COMMANDS) {
      if (arguments.length > 0 && command.name().equals(arguments[0])) {
        return command.run(Arrays.copyOfRange(arguments, 1, arguments.length));
      }
    }
    boolean help = arguments.length > 0 && HELP.contains(arguments[0]);
    printUsage(help ? System.out : System.err);
    return help ? 0 : Command.EXIT_USAGE;
  }

  private static void printUsage(PrintStream to) {
    to.println("usage: umberpath-lab COMMAND [OPTIONS]");
    to.println("'umberpath-lab COMMAND --help' lists the options of a command.");
    COMMANDS.forEach(command -> to.printf("  %-13s %s%n", command.name(), command.summary()));
  }
}
