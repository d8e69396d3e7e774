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
      return runAll(options, out);
    } catch (CmdLineException e) {
      err.println("simulate: " + e.getMessage());
      parser.printUsage(err, null);
    } catch (IllegalArgumentException | IOException e) {
      err.println("simulate: " + e.getMessage());
    }
    return EXIT_USAGE;
  }

  private static int runAll(SimulateOptions options, PrintWriter out) throws IOException {
    List<SimulationReport> reports = new ArrayList<>();
    int failed = 0;
    for (String faultCase : options.cases()) {
      SimulationSettings first = options.settings(faultCase);
      for (int offset = 0; offset < options.seedCount(); offset++) {
        SimulationSettings settings = first.withSeed(first.seed() + offset);
        SimulationReport report = runOne(faultCase, settings, options.traceDirectory(), out);
        reports.add(report);
        failed += report.isGood() ? 0 : 1;
      }
    }
    writeJson(options, reports);
    if (reports.size() == 1) {
      SimulationSummary.details(reports.get(0)).forEach(out::println);
    } else {
      out.printf("%d runs, %d failed%n", reports.size(), failed);
    }
    return failed == 0 ? 0 : EXIT_FAILED;
  }

  private static SimulationReport runOne(
      String faultCase, SimulationSettings settings, Path traces, PrintWriter out)
      throws IOException {
    Simulation simulation = new Simulation(settings);
    SimulationReport report = simulation.run();
    String name = (faultCase + " ").stripLeading();
    out.println(name + SimulationSummary.line(report));
    if (!report.isGood()) {
      String file = "trace-" + name.replace(' ', '-') + settings.seed() + ".jsonl";
      Path trace = traces.resolve(file);
      TraceFile.write(trace, report, simulation.lastEvents());
      out.println("FAILED seed " + settings.seed() + ", trace " + trace);
      report.violations().forEach(violation -> out.println("  " + violation));
    }
    return report;
  }

  private static void writeJson(SimulateOptions options, List<SimulationReport> reports)
      throws IOException {
    if (options.json().isPresent()) {
      Object result = reports.size() == 1 ? reports.get(0) : reports;
      TraceFile.MAPPER
          .writerWithDefaultPrettyPrinter()
          .writeValue(options.json().get().toFile(), result);
    }
  }
}
