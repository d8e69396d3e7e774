package io.umberpath.lab;

import io.umberpath.lab.simulate.ReplayCommand;
import io.umberpath.lab.simulate.SimulateCommand;
import java.util.Arrays;
import java.util.List;

/** Entry point of {@code umberpath-lab}. */
public final class Main {
  private static final List<Command> COMMANDS = List.of(new SimulateCommand(), new ReplayCommand());

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
    System.err.println("usage: umberpath-lab COMMAND [OPTIONS]");
    COMMANDS.forEach(
        command -> System.err.printf("  %-10s %s%n", command.name(), command.summary()));
    return Command.EXIT_USAGE;
  }
}
