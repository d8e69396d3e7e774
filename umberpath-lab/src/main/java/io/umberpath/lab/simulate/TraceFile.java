package io.umberpath.lab.simulate;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;

/**
 * A trace: JSON lines that hold the settings of a run, its last events and its outcome. The
 * settings alone repeat the run; the outcome states what it has to come to.
 */
final class TraceFile {
  /** Mapper for settings, reports and traces. */
  static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
          .build();

  private static final String SETTINGS = "settings";
  private static final String OUTCOME = "outcome";

  private TraceFile() {}

  /**
   * What a trace states.
   *
   * @param settings how to run it
   * @param outcome what it has to come to
   */
  record Trace(SimulationSettings settings, Outcome outcome) {}

  /**
   * The stated outcome.
   *
   * @param violations names of broken invariants, sorted; empty for a good run
   * @param digest hash over the events when the trace was written; differs once the code does
   */
  record Outcome(List<String> violations, String digest) {
    static Outcome of(SimulationReport report) {
      TreeSet<String> names = new TreeSet<>();
      report.violations().forEach(violation -> names.add(violation.invariant()));
      return new Outcome(List.copyOf(names), report.digest());
    }
  }

  private record SettingsLine(String type, SimulationSettings settings) {}

  private record ViolationLine(String type, InvariantViolation violation) {}

  private record OutcomeLine(String type, Outcome outcome) {}

  static void write(Path path, SimulationReport report, List<EventTail.Line> events)
      throws IOException {
    try (BufferedWriter writer = Files.newBufferedWriter(path)) {
      line(writer, new SettingsLine(SETTINGS, report.settings()));
      for (EventTail.Line event : events) {
        line(writer, event);
      }
      for (InvariantViolation violation : report.violations()) {
        line(writer, new ViolationLine("violation", violation));
      }
      line(writer, new OutcomeLine(OUTCOME, Outcome.of(report)));
    }
  }

  private static void line(BufferedWriter writer, Object value) throws IOException {
    writer.write(MAPPER.writeValueAsString(value));
    writer.newLine();
  }

  /**
   * Reads a trace.
   *
   * @throws IOException naming what is missing or wrong, and the line
   */
  static Trace read(Path path) throws IOException {
    SimulationSettings settings = null;
    Outcome outcome = null;
    int number = 0;
    for (String text : Files.readAllLines(path)) {
      number++;
      try {
        JsonNode line = MAPPER.readTree(text);
        String type = line.path("type").asText();
        if (type.equals(SETTINGS)) {
          settings = MAPPER.treeToValue(line.get(SETTINGS), SimulationSettings.class);
        } else if (type.equals(OUTCOME)) {
          outcome = MAPPER.treeToValue(line.get(OUTCOME), Outcome.class);
        }
      } catch (IOException e) {
        throw new IOException(path + ": line " + number + ": " + e.getMessage(), e);
      }
    }
    if (settings == null || outcome == null) {
      throw new IOException(path + ": lacks its settings or outcome line");
    }
    return new Trace(settings, outcome);
  }
}
