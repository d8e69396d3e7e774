package io.umberpath.node.logs;

/** Formats an exception with its stack trace and causes for a log line. */
final class ThrowableFormatter {
  /**
   * Maximum number of frames per stack trace. A failure that a library reports from within a write
   * can be about 40 frames away from the event that triggered it.
   */
  static final int MAX_FRAMES = 48;

  /** Maximum number of causes. */
  static final int MAX_CAUSES = 3;

  private ThrowableFormatter() {}

  /** Formats the exception and its causes, each with its stack trace, on one line. */
  static String format(Throwable thrown) {
    StringBuilder text = new StringBuilder();
    append(text, thrown);
    Throwable cause = thrown.getCause();
    for (int count = 0; cause != null && count < MAX_CAUSES; count++) {
      text.append(", caused by ");
      append(text, cause);
      cause = cause.getCause();
    }
    return text.toString();
  }

  private static void append(StringBuilder text, Throwable thrown) {
    text.append(thrown);
    StackTraceElement[] stack = thrown.getStackTrace();
    int frames = Math.min(stack.length, MAX_FRAMES);
    for (int index = 0; index < frames; index++) {
      text.append(" at ").append(stack[index]);
    }
    if (stack.length > frames) {
      text.append(" and ").append(stack.length - frames).append(" more");
    }
  }
}
