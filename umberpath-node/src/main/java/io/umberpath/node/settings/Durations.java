package io.umberpath.node.settings;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations in settings: a whole number followed by ms, s, m or h. */
public final class Durations {
  private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})(ms|s|m|h)");
  private static final long SECOND_MILLIS = 1_000;
  private static final long MINUTE_MILLIS = 60 * SECOND_MILLIS;
  private static final long HOUR_MILLIS = 60 * MINUTE_MILLIS;

  private Durations() {}

  /** Returns the duration in milliseconds; empty if the text is not a valid duration. */
  public static Optional<Long> parseMillis(String text) {
    Matcher matcher = DURATION.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(Long.parseLong(matcher.group(1)) * unitMillis(matcher.group(2)));
  }

  /** Formats a duration in the largest unit that yields a whole number. */
  public static String format(long millis) {
    for (String unit : new String[] {"h", "m", "s"}) {
      if (millis != 0 && millis % unitMillis(unit) == 0) {
        return millis / unitMillis(unit) + unit;
      }
    }
    return millis + "ms";
  }

  private static long unitMillis(String unit) {
    return switch (unit) {
      case "h" -> HOUR_MILLIS;
      case "m" -> MINUTE_MILLIS;
      case "s" -> SECOND_MILLIS;
      default -> 1;
    };
  }
}
