package io.umberpath.node.settings;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Durations as they are written in settings: a whole number and one of ms, s, m, h. */
public final class Durations {
  private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})(ms|s|m|h)");
  private static final long SECOND_MILLIS = 1_000;
  private static final long MINUTE_MILLIS = 60 * SECOND_MILLIS;
  private static final long HOUR_MILLIS = 60 * MINUTE_MILLIS;

  private Durations() {}

  /** The duration in milliseconds, or empty if the text is not one. */
  public static Optional<Long> parseMillis(String text) {
    Matcher matcher = DURATION.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(Long.parseLong(matcher.group(1)) * unitMillis(matcher.group(2)));
  }

  /** Writes a duration with the largest unit that keeps it whole. */
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
