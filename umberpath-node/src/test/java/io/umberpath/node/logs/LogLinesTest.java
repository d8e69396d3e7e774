package io.umberpath.node.logs;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LogLinesTest {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static List<JsonNode> linesOf(Runnable logging) throws Exception {
    PrintStream originalErr = System.err;
    ByteArrayOutputStream captured = new ByteArrayOutputStream();
    System.setErr(new PrintStream(captured, true, StandardCharsets.UTF_8));
    try {
      logging.run();
    } finally {
      System.setErr(originalErr);
    }
    ObjectMapper json = new ObjectMapper();
    List<JsonNode> lines = new ArrayList<>();
    for (String line : captured.toString(StandardCharsets.UTF_8).split("\n")) {
      lines.add(json.readTree(line));
    }
    return lines;
  }

  @Test
  void lineIsOneJsonObjectWithItsEvent() throws Exception {
    JsonNode line =
        linesOf(
                () ->
                    logger
                        .atInfo()
                        .with(LogFields.EVENT, "test-event")
                        .with(LogFields.TENANT, "market")
                        .log("first\nsecond \"%s\"", "quoted"))
            .get(0);
    assertThat(line.get("event").asText()).isEqualTo("test-event");
    assertThat(line.get("tenant").asText()).isEqualTo("market");
    assertThat(line.get("level").asText()).isEqualTo("INFO");
    assertThat(line.get("message").asText()).isEqualTo("first\nsecond \"quoted\"");
    assertThat(line.get("time").asText()).endsWith("Z");
  }

  @Test
  void exceptionAndLibraryLinesAreJsonToo() throws Exception {
    Logs.bridgeJavaUtilLogging();
    List<JsonNode> lines =
        linesOf(
            () -> {
              logger.atSevere().withCause(new IllegalStateException("cause")).log("failed");
              java.util.logging.Logger.getLogger("library").warning("from a library");
            });
    assertThat(lines).hasSize(2);
    assertThat(lines.get(0).get("error").asText()).contains("IllegalStateException: cause");
    assertThat(lines.get(1).get("message").asText()).isEqualTo("from a library");
  }
}
