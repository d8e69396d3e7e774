package io.umberpath.node.cli;

import io.umberpath.node.logs.LogLine;
import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Prints sums of {@code route-summary} lines, by side and by chosen keys. */
final class RouteReport {
  private static final String SIDE = "side";
  private static final int HALF = 2;

  /** A line and the second that contains the middle of the interval that it covers. */
  private record Summary(Instant second, LogLine line) {
    static Summary of(LogLine line) {
      long halfMillis = RouteTotals.number(line, "overMillis") / HALF;
      Instant middle = line.time().minusMillis(halfMillis);
      return new Summary(Instant.ofEpochSecond(middle.getEpochSecond()), line);
    }

    List<String> group(List<GroupKey> keys) {
      List<String> group = new ArrayList<>(List.of(line.field("source")));
      keys.forEach(key -> group.add(key.of(second, line)));
      return group;
    }
  }

  private final List<Summary> summaries = new ArrayList<>();

  void add(LogLine line) {
    summaries.add(Summary.of(line));
  }

  boolean isEmpty() {
    return summaries.isEmpty();
  }

  /** Prints one row for each group. */
  void print(PrintStream out, List<GroupKey> keys) {
    Map<String, RouteTotals> totals = new TreeMap<>();
    Map<String, List<String>> groups = new TreeMap<>();
    for (Summary summary : summaries) {
      List<String> group = summary.group(keys);
      String sortKey = sortKey(group, keys);
      groups.put(sortKey, group);
      totals
          .computeIfAbsent(sortKey, absent -> new RouteTotals())
          .add(summary.second(), summary.line());
    }
    List<String> header = new ArrayList<>(List.of(SIDE));
    keys.forEach(key -> header.add(key.label()));
    List<List<String>> all = new ArrayList<>(groups.values());
    all.add(header);
    int[] widths = widths(all);
    out.println(cells(header, widths) + RouteTotals.HEADER);
    totals.forEach(
        (sortKey, total) -> out.println(cells(groups.get(sortKey), widths) + total.row()));
  }

  /** Rows are in the order of the keys, those of both sides together. */
  private static String sortKey(List<String> group, List<GroupKey> keys) {
    return String.join("\n", group.subList(1, keys.size() + 1)) + "\n" + group.get(0);
  }

  private static int[] widths(List<List<String>> rows) {
    int[] widths = new int[rows.get(0).size()];
    for (List<String> row : rows) {
      for (int column = 0; column < widths.length; column++) {
        widths[column] = Math.max(widths[column], row.get(column).length());
      }
    }
    return widths;
  }

  /** Returns the cells padded to the widths of their columns. */
  private static String cells(List<String> cells, int[] widths) {
    StringBuilder text = new StringBuilder();
    for (int column = 0; column < widths.length; column++) {
      String cell = cells.get(column);
      text.append(cell).append(" ".repeat(widths[column] - cell.length() + 1));
    }
    return text.toString();
  }
}
