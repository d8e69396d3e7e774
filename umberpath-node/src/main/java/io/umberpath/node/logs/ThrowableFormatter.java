package io.umberpath.node.logs;

/** What a log line says of an exception: where it was thrown, how that was reached, and why. */
final class ThrowableFormatter {
  /**
   * Most frames of a stack. A failure that a library reports from within a write lies some 40
   * frames above the event that began it.
   */
  static final int MAX_FRAMES = 48;

  /** Most exceptions of a chain of causes. */
  static final int MAX_CAUSES = 3;

  private ThrowableFormatter() {}

  /** The exception with its stack, then its causes with theirs, in one line. */
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
