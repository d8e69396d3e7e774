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
}
