package io.umberpath.node.logs;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A log line written by a node.
 *
 * @param node text before the JSON object, such as the node name added by a log collector; may be
 *     empty
 * @param time time of the event
 * @param event event name
 * @param fields all fields as text
 */
public record LogLine(String node, Instant time, String event, Map<String, String> fields) {
  private static final JsonFactory JSON = new JsonFactory();

  /** Copies the fields. */
  public LogLine {
    fields = Map.copyOf(fields);
  }

  /** Parses a line; empty if it is not a node's log line with a time and an event. */
  public static Optional<LogLine> read(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try (JsonParser in = JSON.createParser(text.substring(start))) {
      Map<String, String> fields = new HashMap<>();
      if (in.nextToken() != JsonToken.START_OBJECT) {
        return Optional.empty();
      }
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String name = in.currentName();
        fields.put(name, in.nextToken().isScalarValue() ? in.getText() : "");
        in.skipChildren();
      }
      if (!fields.containsKey("time") || !fields.containsKey("event")) {
        return Optional.empty();
      }
      return Optional.of(
          new LogLine(
              text.substring(0, start).strip(),
              Instant.parse(fields.get("time")),
              fields.get("event"),
              fields));
    } catch (IOException | DateTimeParseException malformed) {
      return Optional.empty();
    }
  }

  /** Returns the text of a field, or an empty string if it is absent. */
  public String field(String name) {
    return fields.getOrDefault(name, "");
  }
}
