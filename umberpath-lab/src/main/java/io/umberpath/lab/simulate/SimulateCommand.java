package io.umberpath.lab.simulate;

import io.umberpath.lab.Command;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** {@code umberpath-lab simulate}: runs fleets in virtual time and checks every invariant. */
public final class SimulateCommand implements Command {
  @Override
  public String name() {
    return "simulate";
  }

  @Override
  public String summary() {
    return "run a fleet in virtual time under load and faults, checking every invariant";
  }

  @Override
  public int run(String[] arguments) {
    SimulateOptions options = new SimulateOptions();
    CmdLineParser parser = new CmdLineParser(options);
    PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
    PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
    try {
      parser.parseArgument(arguments);
      SimulationSettings first = options.settings();
      return runAll(options, first, out);
    } catch (CmdLineException e) {
      err.println("simulate: " + e.getMessage());
      parser.printUsage(err, null);
    } catch (IllegalArgumentException | IOException e) {
      err.println("simulate: " + e.getMessage());
    }
    return EXIT_USAGE;
  }

  private static int runAll(SimulateOptions options, SimulationSettings first, PrintWriter out)
      throws IOException {
    List<SimulationReport> reports = new ArrayList<>();
    int failed = 0;
    for (int offset = 0; offset < options.seedCount(); offset++) {
      Simulation simulation = new Simulation(first.withSeed(first.seed() + offset));
      SimulationReport report = simulation.run();
      reports.add(report);
      out.println(SimulationSummary.line(report));
      if (!report.isGood()) {
        failed++;
        printFailure(report, simulation, options.traceDirectory(), out);
      }
    }
    if (options.json().isPresent()) {
      Object result = reports.size() == 1 ? reports.get(0) : reports;
      TraceFile.MAPPER
          .writerWithDefaultPrettyPrinter()
          .writeValue(options.json().get().toFile(), result);
    }
    if (reports.size() == 1) {
      SimulationSummary.details(reports.get(0)).forEach(out::println);
    } else {
      out.printf("%d seeds, %d failed%n", reports.size(), failed);
    }
    return failed == 0 ? 0 : EXIT_FAILED;
  }

  private static void printFailure(
      SimulationReport report, Simulation simulation, Path directory, PrintWriter out)
      throws IOException {
    Path trace = directory.resolve("trace-" + report.settings().seed() + ".jsonl");
    TraceFile.write(trace, report, simulation.lastEvents());
    out.println("FAILED seed " + report.settings().seed() + ", trace " + trace);
    report.violations().forEach(violation -> out.println("  " + violation));
  }
}
