package io.umberpath.node.cli;

import io.umberpath.node.logs.LogLine;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.kohsuke.args4j.Argument;

/** Counts lost requests by second, route and outcome. */
final class LossesCommand extends LogFilesCommand {
  @Argument(required = true, metaVar = "FILE", usage = "logs of nodes")
  private List<String> files;

  /** Lost requests of one second, route and outcome. */
  private record Loss(long second, String route, String outcome) implements Comparable<Loss> {
    private static final Comparator<Loss> ORDER =
        Comparator.comparingLong(Loss::second)
            .thenComparing(Loss::route)
            .thenComparing(Loss::outcome);

    @Override
    public int compareTo(Loss other) {
      return ORDER.compare(this, other);
    }
  }

  private final Map<Loss, Long> losses = new TreeMap<>();

  @Override
  ExitCode run(Output output) throws UsageException {
    read(files, this::countLoss);
    output.out().printf("%-20s %-20s %7s  %s%n", "second", "route", "count", "how they ended");
    losses.forEach(
        (loss, count) ->
            output
                .out()
                .printf(
                    "%-20s %-20s %7d  %s%n",
                    Instant.ofEpochSecond(loss.second()), loss.route(), count, loss.outcome()));
    return ExitCode.OK;
  }

  private void countLoss(LogLine line) {
    long second = line.time().getEpochSecond();
    switch (line.event()) {
      case "request-failed" ->
          losses.merge(new Loss(second, line.field("route"), line.field("outcome")), 1L, Long::sum);
      case "lines-dropped" -> {
        if (line.field("message").equals("request-failed")) {
          long dropped = Long.parseLong("0" + line.field("count"));
          losses.merge(new Loss(second, "-", "lines dropped, not told"), dropped, Long::sum);
        }
      }
      default -> {
        // Other events do not report lost requests.
      }
    }
  }
}
