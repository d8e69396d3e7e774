package io.umberpath.node.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.ChangeResult;
import io.umberpath.model.Version;
import io.umberpath.node.operator.FakeControlService;
import io.umberpath.node.operator.OperatorFixture;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class CommandLineTest {
  private static final String CHANGE =
      """
      tenant: market
      tier: standard
      pools:
        - {name: booking, service: booking, slotsPerBackend: 6, connectionsPerBackend: 130}
      routes:
        - {name: booking, host: "*", pathPrefix: /booking, pool: booking, secret: key,
           repeatableMethods: [GET, HEAD], timeoutMillis: 5000}
      secrets:
        - {name: key, valueFile: key.txt}
      """;

  @TempDir private Path directory;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private OperatorFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new OperatorFixture();
    write("token", OperatorFixture.MARKET + "\n");
    write("administrator", OperatorFixture.ADMINISTRATOR);
    write("key.txt", "hunter2\n");
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  private String write(String name, String text) throws Exception {
    return Files.writeString(directory.resolve(name), text).toString();
  }

  private ExitCode run(String... arguments) {
    out.reset();
    err.reset();
    return new CommandLine(new Output(new PrintStream(out, true), new PrintStream(err, true)))
        .run(arguments);
  }

  private ExitCode call(String... arguments) {
    return callAs("token", arguments);
  }

  private ExitCode callAs(String token, String... arguments) {
    List<String> all = new ArrayList<>(List.of(arguments));
    String server = "127.0.0.1:" + fixture.server.port();
    all.addAll(List.of("--server", server, "--token-file", directory.resolve(token).toString()));
    return run(all.toArray(String[]::new));
  }

  private String printed() {
    return out.toString(StandardCharsets.UTF_8) + err.toString(StandardCharsets.UTF_8);
  }

  @Test
  void acceptedChangeIsNotReportedAsNotRunWhenTheWaitTimesOut() throws Exception {
    String file = write("change.yaml", CHANGE);
    fixture.control.nodes = List.of(FakeControlService.node(1, new Version(0, 1)));
    assertThat(call("apply", "-f", file, "--wait", "--timeout", "2s"))
        .isEqualTo(ExitCode.MAY_HAVE_RUN);
    assertThat(printed()).contains("accepted version 1.1");
  }

  @Test
  void changeIsAppliedReadAndExplained() throws Exception {
    String file = write("change.yaml", CHANGE);
    fixture.control.nodes = List.of(FakeControlService.node(1, new Version(1, 1)));
    assertThat(call("apply", "-f", file, "--wait", "--request-id", "first")).isEqualTo(ExitCode.OK);
    assertThat(printed()).contains("accepted version 1.1 request-id first", "all 1 members");
    assertThat(call("get", "route", "booking")).isEqualTo(ExitCode.OK);
    assertThat(printed()).contains("*/booking -> pool booking");
    assertThat(call("list", "--page-size", "1")).isEqualTo(ExitCode.OK);
    assertThat(printed()).contains("pool", "route", "secret").doesNotContain("hunter2");
    assertThat(call("explain", "--path", "/booking/1")).isEqualTo(ExitCode.OK);
    assertThat(printed()).contains("booking-1", "longest matching prefix '/booking'");
    assertThat(call("explain", "--request-id", "first")).isEqualTo(ExitCode.OK);
    assertThat(callAs("administrator", "status", "--json")).isEqualTo(ExitCode.OK);
    assertThat(printed()).contains("\"fleetViewAvailable\":true", "127.0.0.1:1");
    assertThat(callAs("administrator", "drain", "--backend", "booking-1")).isEqualTo(ExitCode.OK);
    assertThat(printed()).contains("drains booking-1");
  }

  static Stream<Arguments> outcomes() {
    return Stream.of(
        Arguments.of(refused(ChangeResult.RefusalCode.CONFLICT), ExitCode.REFUSED, "not run"),
        Arguments.of(refused(ChangeResult.RefusalCode.NO_QUORUM), ExitCode.UNAVAILABLE, "not run"),
        Arguments.of(refused(ChangeResult.RefusalCode.OVERLOADED), ExitCode.UNAVAILABLE, "not run"),
        Arguments.of(
            new ChangeResult.Unknown("leader lost"), ExitCode.MAY_HAVE_RUN, "may have run"));
  }

  private static ChangeResult refused(ChangeResult.RefusalCode code) {
    return new ChangeResult.Refused(code, List.of());
  }

  @ParameterizedTest
  @MethodSource("outcomes")
  void outcomeDecidesTheExitCode(ChangeResult result, ExitCode exitCode, String text)
      throws Exception {
    fixture.control.nextOutcome = Optional.of(CompletableFuture.completedFuture(result));
    assertThat(call("apply", "-f", write("change.yaml", CHANGE))).isEqualTo(exitCode);
    assertThat(printed()).contains(text).doesNotContain("hunter2");
  }

  @Test
  void missingResponseIsReportedAsMayHaveRun() throws Exception {
    fixture.control.nextOutcome = Optional.of(new CompletableFuture<>());
    String file = write("change.yaml", CHANGE);
    assertThat(call("apply", "-f", file, "--timeout", "1s", "--request-id", "lost"))
        .isEqualTo(ExitCode.MAY_HAVE_RUN);
    assertThat(printed()).contains("may have run", "--request-id lost");
  }

  @Test
  void watchPrintsUntilItsTimeout() {
    assertThat(callAs("administrator", "status", "--watch", "--timeout", "1s"))
        .isEqualTo(ExitCode.OK);
    assertThat(printed()).contains("committed");
  }

  @Test
  void nextServerIsTriedAndNoReachableServerIsReportedAsNotRun() throws Exception {
    String file = write("change.yaml", CHANGE);
    String closed;
    try (ServerSocket socket = new ServerSocket(0)) {
      closed = "127.0.0.1:" + socket.getLocalPort();
    }
    assertThat(call("apply", "-f", file, "--server", closed)).isEqualTo(ExitCode.OK);
    String token = directory.resolve("token").toString();
    assertThat(run("list", "--server", closed, "--token-file", token))
        .isEqualTo(ExitCode.UNAVAILABLE);
    assertThat(printed()).contains("not run: cannot connect");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "name: | nome: | line 4: pools[0].nome = 'booking': unknown field",
        "slotsPerBackend: 6 | slotsPerBackend: six | must be a whole number",
        "tier: standard | tier: gold | must be one of [premium, standard, basic]",
        "valueFile: key.txt | valueFile: none.txt | does not exist",
        "valueFile: key.txt | valeu: hunter2 | secrets[0].valeu = 'redacted': unknown field",
        "- {name: key, valueFile: key.txt} | - hunter2 | secrets[0] = 'redacted'",
        "tenant: market | expectedVersion: x | must be a version such as 3.17",
        "tenant: market | tenant: [ | (syntax)",
      })
  void invalidChangeFileFieldIsReported(String before, String after, String text) throws Exception {
    String file = write("change.yaml", CHANGE.replace(before, after));
    assertThat(call("apply", "-f", file)).isEqualTo(ExitCode.USAGE);
    assertThat(printed()).contains(text).doesNotContain("hunter2");
    assertThat(fixture.control.submitted).hasValue(0);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "unknown",
        "apply",
        "apply -f no-such-file",
        "get",
        "get secrets",
        "get cluster x",
        "list --unknown",
        "list --timeout soon",
        "wait three",
        "explain",
        "explain --path / --request-id x",
        "drain",
        "reform",
        "list --server nowhere",
        "node",
        "node --config no-such-file",
        "check-config no-such-file",
        "check-config x --backend y",
      })
  void usageErrorIsReported(String line) {
    String[] arguments = line.isEmpty() ? new String[0] : line.split(" ");
    ExitCode exitCode = line.contains("--server") ? run(arguments) : callIfOperator(arguments);
    assertThat(exitCode).isEqualTo(ExitCode.USAGE);
    assertThat(err.size()).isPositive();
  }

  /** Adds the connection options if the subcommand supports them. */
  private ExitCode callIfOperator(String... arguments) {
    boolean isOperatorCommand =
        arguments.length > 0
            && List.of("apply", "get", "list", "wait", "explain", "drain", "reform")
                .contains(arguments[0]);
    return isOperatorCommand ? call(arguments) : run(arguments);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "node",
        "apply",
        "get",
        "list",
        "wait",
        "status",
        "explain",
        "drain",
        "reform",
        "check-config",
        "version"
      })
  void helpIsPrintedForEachCommand(String name) {
    assertThat(run(name, "--help")).isEqualTo(ExitCode.OK);
    assertThat(printed()).contains("usage: umberpath " + name);
    assertThat(run("--help")).isEqualTo(ExitCode.OK);
    assertThat(printed()).contains("  " + name + " ");
  }

  @ParameterizedTest
  @ValueSource(strings = {"klang-valley", "western-sri-lanka"})
  void sampleFileIsValidWithFlags(String name) {
    String file = Path.of("..", "config", name + ".yaml").toString();
    assertThat(
            run(
                "check-config",
                file,
                "--address",
                "127.0.0.1:7105",
                "--seed",
                "127.0.0.1:7106",
                "--zone",
                "kepong",
                "--edge-port",
                "8080",
                "--backend",
                "b-1=127.0.0.1:9001",
                "--set",
                "fleet.batchWindow=5ms"))
        .as(printed())
        .isEqualTo(ExitCode.OK);
    assertThat(run("check-config", file, "--set", "fleet.fanout=0")).isEqualTo(ExitCode.USAGE);
    assertThat(printed()).contains("flag: fleet.fanout = '0'");
  }
}
