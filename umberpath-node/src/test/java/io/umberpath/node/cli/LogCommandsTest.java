package io.umberpath.node.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LogCommandsTest {
  private static final String EDGE =
      """
      not a line of a node
      edge-1 {"time":"2026-10-01T16:47:18.187Z","event":"attempt-failed","request_id":"ab","backend":"i-1","outcome":"not-run; reason=overloaded","cause":"","message":"sent again"}
      edge-1 {"time":"2026-10-01T16:47:18.190Z","event":"request-failed","request_id":"ab","route":"r-1","configuration":4,"outcome":"not-run; reason=overloaded","millis":5,"message":"attempts 2, sent to back ends 0"}
      edge-1 {"time":"2026-10-01T16:47:18.191Z","event":"request-failed","request_id":"cd","route":"r-1","configuration":4,"outcome":"not-run; reason=overloaded","millis":5,"message":"attempts 2, sent to back ends 0"}
      edge-1 {"time":"2026-10-01T16:47:19.000Z","event":"lines-dropped","count":7,"message":"request-failed"}
      edge-1 {"time":"2026-10-01T16:47:30.000Z","event":"backend-gone","backend":"i-1","message":"store"}
      """;
  private static final String GATE =
      """
      {"time":"2026-10-01T16:47:18.186Z","event":"gate-failed","request_id":"ab","backend":"i-1","outcome":"not-run; reason=overloaded","millis":1,"message":"load 12,9,12,50872,100,0"}
      """;

  @TempDir private Path directory;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private String write(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text).toString();
  }

  private ExitCode run(String... arguments) {
    return new CommandLine(new Output(new PrintStream(out), new PrintStream(err))).run(arguments);
  }

  @Test
  void traceOrdersLinesOfARequestAcrossNodes() throws IOException {
    String edge = write("edge.log", EDGE);
    String gate = write("gate.log", GATE);

    assertThat(run("trace", "ab", edge, gate)).isEqualTo(ExitCode.OK);

    String[] lines = out.toString().split("\n");
    assertThat(lines).hasSize(4);
    assertThat(lines[0]).contains("gate-failed", "backend=i-1", "load 12,9,12");
    assertThat(lines[1]).contains("edge-1 attempt-failed", "sent again");
    assertThat(lines[2]).contains("request-failed", "not-run; reason=overloaded", "millis=5");
    assertThat(lines[3]).contains("lines-dropped", "count=7");
  }

  @Test
  void traceOfUnknownRequestIsReported() throws IOException {
    assertThat(run("trace", "xy", write("edge.log", EDGE))).isEqualTo(ExitCode.REFUSED);
    assertThat(err.toString()).contains("xy");
  }

  @Test
  void missingFileIsReported() {
    assertThat(run("trace", "ab", "missing.log")).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString()).contains("FILE missing.log");
  }

  @Test
  void lossesAreCountedBySecondRouteAndOutcome() throws IOException {
    assertThat(run("losses", write("edge.log", EDGE))).isEqualTo(ExitCode.OK);

    String[] lines = out.toString().split("\n");
    assertThat(lines).hasSize(3);
    assertThat(lines[1]).contains("2026-10-01T16:47:18Z", "r-1", "2  not-run; reason=overloaded");
    assertThat(lines[2]).contains("7  lines dropped");
  }

  /** Route, zone, node and second of a summary, and its counts as JSON. */
  private static String summary(String node, String time, String fields) {
    return node
        + " {\"time\":\"2026-10-01T16:47:"
        + time
        + "Z\",\"event\":\"route-summary\",\"overMillis\":1000,"
        + fields
        + "}\n";
  }

  private static String edge(String zone, String route, String counts) {
    return "\"source\":\"edge\",\"zone\":\"" + zone + "\",\"route\":\"" + route + "\"," + counts;
  }

  private static final String BROWSES_LATE =
      "\"count\":30,\"inTime\":2,\"late\":8,\"errors\":1,\"refused\":12,\"failed\":7,"
          + "\"cause\":\"12 not-run; reason=deadline, 7 may-have-run; reason=deadline\","
          + "\"attempts\":33,\"retries\":4,\"p50Millis\":700,\"p99Millis\":900,\"unreadMillis\":810";
  private static final String ORDERS_SERVED =
      "\"count\":10,\"inTime\":10,\"late\":0,\"errors\":0,\"refused\":0,\"failed\":0,"
          + "\"cause\":\"\",\"attempts\":10,\"retries\":0,\"p50Millis\":20,\"p99Millis\":40,"
          + "\"unreadMillis\":3";
  private static final String GATE_LOAD =
      "\"backendMillis\":5800,\"running\":6,\"queued\":9,\"slots\":6";

  private String summaries() throws IOException {
    String text =
        summary("edge-1", "18.400", edge("z-1", "browse", BROWSES_LATE))
            + summary("edge-1", "18.400", edge("z-1", "order", ORDERS_SERVED))
            + summary("edge-2", "18.600", edge("z-1", "browse", BROWSES_LATE))
            + summary("edge-3", "18.600", edge("z-2", "order", ORDERS_SERVED))
            + summary(
                "edge-3",
                "18.600",
                "\"source\":\"hop\",\"zone\":\"z-2\",\"route\":\"order\","
                    + ORDERS_SERVED
                    + ","
                    + GATE_LOAD);
    return write("summaries.log", text);
  }

  private String[] losses(String... arguments) {
    assertThat(run(arguments)).isEqualTo(ExitCode.OK);
    return out.toString().replaceAll(" +", " ").split(" ?\n");
  }

  @Test
  void summariesAreSummedBySecondZoneAndRoute() throws IOException {
    String[] lines = losses("losses", summaries());

    assertThat(lines[0])
        .isEqualTo(
            "side second zone route requests in time late errors refused failed attempts retries"
                + " p50 p99 unread backend run/que/slot how they were lost");
    // The interval of the first two lines lies in the second before for the most part.
    assertThat(lines[1])
        .isEqualTo(
            "edge 2026-10-01T16:47:17Z z-1 browse 30 2 8 1 12 7 33 4 700 900 810 0 -"
                + " 12 not-run; reason=deadline, 7 may-have-run; reason=deadline");
    assertThat(lines[2])
        .isEqualTo("edge 2026-10-01T16:47:17Z z-1 order 10 10 0 0 0 0 10 0 20 40 3 0 -");
    assertThat(lines[3]).startsWith("edge 2026-10-01T16:47:18Z z-1 browse 30 2 8 1 12 7 33");
    assertThat(lines[4]).startsWith("edge 2026-10-01T16:47:18Z z-2 order 10 10 0");
    assertThat(lines[5])
        .isEqualTo("hop 2026-10-01T16:47:18Z z-2 order 10 10 0 0 0 0 10 0 20 40 3 5800 6/9/6");
  }

  @Test
  void summariesAreTotalledByRouteZoneAndNode() throws IOException {
    String[] lines = losses("losses", summaries());

    assertThat(lines)
        .contains(
            "edge browse 60 4 16 2 24 14 66 8 700 900 810 0 -"
                + " 24 not-run; reason=deadline, 14 may-have-run; reason=deadline",
            "edge order 20 20 0 0 0 0 20 0 20 40 3 0 -",
            "edge z-2 10 10 0 0 0 0 10 0 20 40 3 0 -",
            "hop z-2 edge-3 10 10 0 0 0 0 10 0 20 40 3 5800 6/9/6");
    assertThat(lines).filteredOn(line -> line.startsWith("edge z-1 edge-1 40 12 8 1")).hasSize(1);
  }

  @Test
  void summariesAreSummedByChosenKeysInATimeRange() throws IOException {
    String[] lines =
        losses("losses", "--by", "node", "--from", "2026-10-01T16:47:18.500Z", summaries());

    assertThat(lines[0]).startsWith("side node requests");
    assertThat(lines[1]).startsWith("edge edge-2 30 2");
    assertThat(lines[2]).startsWith("edge edge-3 10 10");
    assertThat(lines[3]).startsWith("hop edge-3 10 10");
    assertThat(out.toString()).doesNotContain("edge-1");
  }

  @Test
  void lostRequestsOfASummarizedNodeAreNotCountedTwice() throws IOException {
    String failed =
        "edge-1 {\"time\":\"2026-10-01T16:47:18.187Z\",\"event\":\"request-failed\","
            + "\"route\":\"browse\",\"outcome\":\"not-run; reason=deadline\"}\n";
    String dropped =
        "edge-1 {\"time\":\"2026-10-01T16:47:18.190Z\",\"event\":\"lines-dropped\","
            + "\"count\":3,\"message\":\"%s\"}\n";
    String log = write("failed.log", failed + dropped.formatted("request-failed"));

    String[] lines = losses("losses", summaries(), log);
    assertThat(lines).noneMatch(line -> line.contains("how they ended"));

    out.reset();
    String lost = write("dropped.log", dropped.formatted("route-summary"));
    assertThat(losses("losses", summaries(), lost))
        .endsWith(
            "second route count how they ended",
            "2026-10-01T16:47:18Z - 3 lines dropped, not told");
  }

  @Test
  void unknownKeyAndMalformedTimeAreReported() throws IOException {
    assertThat(run("losses", "--by", "pool", summaries())).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString()).contains("--by", "pool", "second, zone, node, route");
    assertThat(run("losses", "--to", "noon", summaries())).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString()).contains("--to", "noon");
  }
}
