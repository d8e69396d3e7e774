package io.umberpath.node.settings;

/**
 * A problem in a settings file, a change file or an overriding flag.
 *
 * @param line line in the file, counted from 1; {@link #FLAG_LINE} if the value came from a flag
 * @param field path of the field, for example {@code fleet.batchWindow}
 * @param value the invalid value as written; {@code redacted} where it may be a secret
 * @param message describes the accepted values
 */
public record SettingsProblem(int line, String field, String value, String message) {
  /** Line of a value that came from a flag. */
  public static final int FLAG_LINE = 0;

  @Override
  public String toString() {
    String place = line == FLAG_LINE ? "flag" : "line " + line;
    return place + ": " + field + " = '" + value + "': " + message;
  }
}
