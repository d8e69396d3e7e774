package io.umberpath.lab.simulate;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads durations such as {@code 250ms}, {@code 30s}, {@code 10m} or {@code 1h}. */
public final class Durations {
  /** Nanoseconds in a millisecond. */
  public static final long MILLI = 1_000_000L;

  /** Nanoseconds in a second. */
  public static final long SECOND = 1_000 * MILLI;

  private static final Pattern FORMAT = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(ms|s|m|h)");

  private Durations() {}

  /**
   * Parses a duration.
   *
   * @return nanoseconds
   * @throws IllegalArgumentException naming the text if it is not a duration
   */
  public static long parseNanos(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException(
          "'" + text + "' is not a duration such as 250ms, 30s, 10m or 1h");
    }
    double unit =
        switch (matcher.group(2)) {
          case "ms" -> MILLI;
          case "s" -> SECOND;
          case "m" -> 60.0 * SECOND;
          default -> 3_600.0 * SECOND;
        };
    return Math.round(Double.parseDouble(matcher.group(1)) * unit);
  }
}
