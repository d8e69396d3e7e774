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
  void decidesAsStated(String name) throws IOException {
    TraceReplay replay = new TraceReplay();
    int stated = 0;
    int number = 0;
    for (String text : lines(name)) {
      number++;
      TraceLine line = MAPPER.readValue(text, TraceLine.class);
      List<String> decided = replay.carryOut(line);
      if (line.expect() != null) {
        stated++;
        assertThat(decided).as("%s line %d: %s", name, number, text).isEqualTo(line.expect());
      }
    }
    assertThat(stated).isPositive();
  }

  private static List<String> lines(String name) throws IOException {
    try (InputStream in =
        Objects.requireNonNull(
            TraceReplayTest.class.getResourceAsStream("/traces/" + name + ".jsonl"))) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
    }
  }
}
