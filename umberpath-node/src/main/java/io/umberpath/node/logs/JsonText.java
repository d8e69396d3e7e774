package io.umberpath.node.logs;

/** Formats the JSON fields of log lines. */
final class JsonText {
  private static final int FIRST_PRINTABLE = 0x20;

  private JsonText() {}

  /** Appends a comma, the name and the value; numbers as numbers, other values as strings. */
  static void appendField(StringBuilder line, String name, Object value) {
    line.append(",\"").append(name).append("\":");
    if (value instanceof Number) {
      line.append(value);
      return;
    }
    line.append('"');
    escape(line, value.toString());
    line.append('"');
  }

  private static void escape(StringBuilder line, String text) {
    for (int index = 0; index < text.length(); index++) {
      char letter = text.charAt(index);
      if (letter == '"' || letter == '\\') {
        line.append('\\').append(letter);
      } else if (letter < FIRST_PRINTABLE) {
        line.append(String.format("\\u%04x", (int) letter));
      } else {
        line.append(letter);
      }
    }
  }
}
