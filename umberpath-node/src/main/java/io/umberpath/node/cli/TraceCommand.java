package io.umberpath.node.cli;

import io.umberpath.node.logs.LogLine;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Argument;

/** Prints the log lines of one request from all nodes in chronological order. */
final class TraceCommand extends LogFilesCommand {
  private static final String REQUEST_ID = "request_id";
  private static final String BACKEND = "backend";

  /** Time before and after a request for which state changes of its backends are included. */
  private static final Duration CONTEXT_WINDOW = Duration.ofSeconds(3);

  private static final Set<String> CONTEXT_EVENTS =
      Set.of(
          "backend-added",
          "backend-draining",
          "backend-gone",
          "backend-attested",
          "backend-failing",
          "backend-restarted",
          "lines-dropped",
          "store-lost",
          "store-regained");

  @Argument(index = 0, required = true, metaVar = "ID", usage = "id of the request")
  private String id;

  @Argument(index = 1, required = true, metaVar = "FILE", usage = "logs of nodes")
  private List<String> files;

  @Override
  ExitCode run(Output output) throws UsageException {
    List<LogLine> all = readAll(files);
    List<LogLine> requestLines =
        all.stream().filter(line -> line.field(REQUEST_ID).equals(id)).collect(Collectors.toList());
    if (requestLines.isEmpty()) {
      output.err().println("no line of request " + id + "; served ones are only sampled");
      return ExitCode.REFUSED;
    }
    List<LogLine> trace = new ArrayList<>(requestLines);
    trace.addAll(contextLines(all, requestLines));
    trace.sort(Comparator.comparing(LogLine::time));
    trace.forEach(line -> output.out().println(text(line)));
    return ExitCode.OK;
  }

  /**
   * Selects backend state changes and dropped-line counts of the nodes that handled the request.
   */
  private static List<LogLine> contextLines(List<LogLine> all, List<LogLine> requestLines) {
    Set<String> backends =
        requestLines.stream().map(line -> line.field(BACKEND)).collect(Collectors.toSet());
    Set<String> nodes = requestLines.stream().map(LogLine::node).collect(Collectors.toSet());
    Instant first = requestLines.stream().map(LogLine::time).min(Comparator.naturalOrder()).get();
    Instant last = requestLines.stream().map(LogLine::time).max(Comparator.naturalOrder()).get();
    return all.stream()
        .filter(line -> CONTEXT_EVENTS.contains(line.event()) && nodes.contains(line.node()))
        .filter(line -> line.field(BACKEND).isEmpty() || backends.contains(line.field(BACKEND)))
        .filter(line -> !line.time().isBefore(first.minus(CONTEXT_WINDOW)))
        .filter(line -> !line.time().isAfter(last.plus(CONTEXT_WINDOW)))
        .toList();
  }

  private static String text(LogLine line) {
    StringBuilder text = new StringBuilder(line.time() + " " + line.node() + " " + line.event());
    for (String name : List.of(BACKEND, "outcome", "cause", "millis", "count", "message")) {
      String value = line.field(name);
      if (!value.isEmpty()) {
        text.append(' ').append(name).append('=').append(value);
      }
    }
    return text.toString();
  }
}
