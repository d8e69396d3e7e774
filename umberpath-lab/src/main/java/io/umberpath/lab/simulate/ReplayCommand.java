package io.umberpath.lab.simulate;

import io.umberpath.lab.Command;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** {@code umberpath-lab replay TRACE}: runs a trace again and compares with its stated outcome. */
public final class ReplayCommand implements Command {
  private static final class Options {
    @Argument(required = true, metaVar = "TRACE", usage = "JSON-lines trace of simulate")
    private Path trace;
  }

  @Override
  public String name() {
    return "replay";
  }

  @Override
  public String summary() {
    return "run a recorded trace again and compare with its stated outcome";
  }

  @Override
  public int run(String[] arguments) {
    Options options = new Options();
    CmdLineParser parser = new CmdLineParser(options);
    PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
    PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
    try {
      parser.parseArgument(arguments);
      return replay(TraceFile.read(options.trace), out);
    } catch (CmdLineException e) {
      err.println("replay: " + e.getMessage());
      parser.printUsage(err, null);
      return EXIT_USAGE;
    } catch (IOException e) {
      err.println("replay: " + e.getMessage());
      return EXIT_USAGE;
    }
  }

  private static int replay(TraceFile.Trace trace, PrintWriter out) {
    SimulationReport report = new Simulation(trace.settings()).run();
    TraceFile.Outcome outcome = TraceFile.Outcome.of(report);
    report.violations().forEach(violation -> out.println("violation: " + violation));
    out.println("stated:  " + trace.outcome());
    out.println("outcome: " + outcome);
    return outcome.violations().equals(trace.outcome().violations()) ? 0 : EXIT_FAILED;
  }
}
