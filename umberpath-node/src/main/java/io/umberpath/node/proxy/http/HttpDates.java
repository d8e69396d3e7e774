package io.umberpath.node.proxy.http;

import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;

/**
 * Formats dates for HTTP headers (RFC 9110, section 5.6.7) and caches the text of the current
 * second. It does not use the JDK's formatters because they load locale data, which takes one
 * hundredth of the startup time. Thread-safe.
 */
final class HttpDates {
  private static final String[] DAYS = {"Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun"};
  private static final String[] MONTHS = {
    "Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"
  };
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int MIN_TWO_DIGIT_NUMBER = 10;

  private record FormattedSecond(long epochSecond, String text) {}

  private static volatile FormattedSecond cached = new FormattedSecond(Long.MIN_VALUE, "");

  private HttpDates() {}

  /** Formats a time given in milliseconds since 1970-01-01 UTC. */
  static String of(long epochMillis) {
    long epochSecond = Math.floorDiv(epochMillis, MILLIS_PER_SECOND);
    FormattedSecond current = cached;
    if (current.epochSecond() != epochSecond) {
      current = new FormattedSecond(epochSecond, format(epochSecond));
      cached = current;
    }
    return current.text();
  }

  private static String format(long epochSecond) {
    LocalDateTime time =
        LocalDateTime.ofInstant(Instant.ofEpochSecond(epochSecond), ZoneOffset.UTC);
    StringBuilder text = new StringBuilder(32);
    text.append(DAYS[time.getDayOfWeek().ordinal()]).append(", ");
    appendTwoDigits(text, time.getDayOfMonth())
        .append(' ')
        .append(MONTHS[time.getMonthValue() - 1]);
    text.append(' ').append(time.getYear()).append(' ');
    appendTwoDigits(text, time.getHour()).append(':');
    appendTwoDigits(text, time.getMinute()).append(':');
    return appendTwoDigits(text, time.getSecond()).append(" GMT").toString();
  }

  private static StringBuilder appendTwoDigits(StringBuilder text, int number) {
    return (number < MIN_TWO_DIGIT_NUMBER ? text.append('0') : text).append(number);
  }
}
