package io.umberpath.node.cli;

import io.umberpath.node.logs.LogLine;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Sum of the {@code route-summary} lines of a group. */
final class RouteTotals {
  static final String HEADER =
      String.format(
          Locale.ROOT,
          "%8s %7s %6s %6s %7s %6s %8s %7s %6s %6s %6s %7s %12s  %s",
          "requests",
          "in time",
          "late",
          "errors",
          "refused",
          "failed",
          "attempts",
          "retries",
          "p50",
          "p99",
          "unread",
          "backend",
          "run/que/slot",
          "how they were lost");

  private static final int FIELDS_OF_LOSS = 2;

  private final Map<String, Long> sums = new HashMap<>();
  private final Map<String, Long> largest = new HashMap<>();
  private final Map<String, Long> losses = new TreeMap<>();

  /** Load of each backend by the last line of its node in a second. */
  private final Map<String, LogLine> loads = new HashMap<>();

  private final Set<Instant> seconds = new HashSet<>();

  /** Adds a line that covers a second. */
  void add(Instant second, LogLine line) {
    for (String field :
        new String[] {
          "count",
          "inTime",
          "late",
          "errors",
          "refused",
          "failed",
          "attempts",
          "retries",
          "backendMillis"
        }) {
      sums.merge(field, number(line, field), Long::sum);
    }
    for (String field : new String[] {"p50Millis", "p99Millis", "unreadMillis"}) {
      largest.merge(field, number(line, field), Math::max);
    }
    for (String loss : line.field("cause").split(", ")) {
      String[] parts = loss.split(" ", FIELDS_OF_LOSS);
      if (parts.length == FIELDS_OF_LOSS) {
        losses.merge(parts[1], Long.parseLong(parts[0]), Long::sum);
      }
    }
    if (!line.field("slots").isEmpty()) {
      loads.put(second + " " + line.node(), line);
      seconds.add(second);
    }
  }

  static long number(LogLine line, String field) {
    return Long.parseLong("0" + line.field(field));
  }

  /** Returns the columns of {@link #HEADER}. */
  String row() {
    return String.format(
        Locale.ROOT,
        "%8d %7d %6d %6d %7d %6d %8d %7d %6d %6d %6d %7d %12s  %s",
        sums.get("count"),
        sums.get("inTime"),
        sums.get("late"),
        sums.get("errors"),
        sums.get("refused"),
        sums.get("failed"),
        sums.get("attempts"),
        sums.get("retries"),
        largest.get("p50Millis"),
        largest.get("p99Millis"),
        largest.get("unreadMillis"),
        sums.get("backendMillis"),
        load(),
        lossesText());
  }

  /** Running, queued and slots of all backends of the group, as a mean over the seconds. */
  private String load() {
    if (loads.isEmpty()) {
      return "-";
    }
    return mean("running") + "/" + mean("queued") + "/" + mean("slots");
  }

  private long mean(String field) {
    long sum = loads.values().stream().mapToLong(line -> number(line, field)).sum();
    return Math.round((double) sum / seconds.size());
  }

  private String lossesText() {
    return losses.entrySet().stream()
        .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
        .map(loss -> loss.getValue() + " " + loss.getKey())
        .collect(Collectors.joining(", "));
  }
}
