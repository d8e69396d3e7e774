package io.umberpath.node.cli;

import io.umberpath.node.logs.LogLine;
import java.io.PrintStream;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Counts requests by second, zone, route and how they ended. Nodes that log no {@code
 * route-summary} lines are counted by the lines of their lost requests.
 */
final class LossesCommand extends LogFilesCommand {
  private static final String SUMMARY = "route-summary";
  private static final String REQUEST_FAILED = "request-failed";
  private static final String LINES_DROPPED = "lines-dropped";
  private static final Set<String> EVENTS = Set.of(SUMMARY, REQUEST_FAILED, LINES_DROPPED);

  @Argument(required = true, metaVar = "FILE", usage = "logs of nodes")
  private List<String> files;

  @Option(
      name = "--by",
      metaVar = "KEYS",
      usage = "what the rows are for: some of second, zone, node, route, separated by commas")
  private String by = "second,zone,route";

  @Option(name = "--from", metaVar = "TIME", usage = "first time, as in the logs")
  private String from = Instant.MIN.toString();

  @Option(name = "--to", metaVar = "TIME", usage = "time before which lines are counted")
  private String to = Instant.MAX.toString();

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
  private final RouteReport report = new RouteReport();

  /** Nodes whose summaries count their lost requests. */
  private final Set<String> summarizedNodes = new HashSet<>();

  @Override
  ExitCode run(Output output) throws UsageException {
    List<GroupKey> keys = new ArrayList<>();
    for (String name : by.split(",")) {
      keys.add(GroupKey.parse(name));
    }
    List<LogLine> lines = readLines();
    lines.stream()
        .filter(line -> line.event().equals(SUMMARY))
        .forEach(
            line -> {
              report.add(line);
              summarizedNodes.add(line.node());
            });
    lines.forEach(this::countLoss);
    if (!report.isEmpty()) {
      printReport(output.out(), keys);
    }
    if (report.isEmpty() || !losses.isEmpty()) {
      printLosses(output.out());
    }
    return ExitCode.OK;
  }

  private List<LogLine> readLines() throws UsageException {
    Instant first = parseTime("--from", from);
    Instant end = parseTime("--to", to);
    List<LogLine> lines = new ArrayList<>();
    read(
        files,
        line -> {
          boolean isInRange = !line.time().isBefore(first) && line.time().isBefore(end);
          if (isInRange && EVENTS.contains(line.event())) {
            lines.add(line);
          }
        });
    return lines;
  }

  private static Instant parseTime(String option, String text) throws UsageException {
    try {
      return Instant.parse(text);
    } catch (DateTimeParseException malformed) {
      throw new UsageException(
          option + ": " + text + " is not a time such as 2026-10-01T16:47:18Z");
    }
  }

  private void printReport(PrintStream out, List<GroupKey> keys) {
    report.print(out, keys);
    for (GroupKey key : List.of(GroupKey.ROUTE, GroupKey.ZONE, GroupKey.NODE)) {
      out.println();
      report.print(out, key == GroupKey.NODE ? List.of(GroupKey.ZONE, key) : List.of(key));
    }
  }

  private void printLosses(PrintStream out) {
    out.printf("%-20s %-20s %7s  %s%n", "second", "route", "count", "how they ended");
    losses.forEach(
        (loss, count) ->
            out.printf(
                "%-20s %-20s %7d  %s%n",
                Instant.ofEpochSecond(loss.second()), loss.route(), count, loss.outcome()));
  }

  private void countLoss(LogLine line) {
    long second = line.time().getEpochSecond();
    boolean isSummarized = summarizedNodes.contains(line.node());
    if (line.event().equals(REQUEST_FAILED) && !isSummarized) {
      losses.merge(new Loss(second, line.field("route"), line.field("outcome")), 1L, Long::sum);
    }
    if (line.event().equals(LINES_DROPPED)
        && line.field("message").equals(isSummarized ? SUMMARY : REQUEST_FAILED)) {
      long dropped = RouteTotals.number(line, "count");
      losses.merge(new Loss(second, "-", "lines dropped, not told"), dropped, Long::sum);
    }
  }
}
