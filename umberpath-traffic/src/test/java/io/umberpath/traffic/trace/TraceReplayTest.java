package io.umberpath.traffic.trace;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TraceReplayTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @ParameterizedTest
  @ValueSource(strings = {"admission", "balancer", "retries", "recorded-overload"})
  void decidesAsRecorded(String name) throws IOException {
    TraceReplay replay = new TraceReplay();
    int checkedLines = 0;
    int lineNumber = 0;
    for (String text : lines(name)) {
      lineNumber++;
      TraceLine line = MAPPER.readValue(text, TraceLine.class);
      List<String> decided = replay.execute(line);
      if (line.expect() != null) {
        checkedLines++;
        assertThat(decided).as("%s line %d: %s", name, lineNumber, text).isEqualTo(line.expect());
      }
    }
    assertThat(checkedLines).isPositive();
  }

  private static List<String> lines(String name) throws IOException {
    try (InputStream in =
        Objects.requireNonNull(
            TraceReplayTest.class.getResourceAsStream("/traces/" + name + ".jsonl"))) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
    }
  }
}
