package io.umberpath.node.logs;

import com.google.common.flogger.FluentLogger;

/**
 * A process that logs more lines than the pipe and the buffer can hold, then reports on standard
 * error that it did not block.
 */
public final class LogFloodMain {
  static final int LINES = 20_000;
  static final String DONE = "every line was handed over";

  private LogFloodMain() {}

  /** Writes the log lines; exits after a byte or the end of its standard input. */
  public static void main(String[] arguments) throws Exception {
    JsonLogHandler.install();
    FluentLogger logger = FluentLogger.forEnclosingClass();
    for (int line = 0; line < LINES; line++) {
      logger.atInfo().log("line %d of a reader that does not read", line);
    }
    System.err.println(DONE);
    System.in.read();
    // The reader has resumed: one more line triggers writing the count of dropped lines.
    logger.atInfo().log("the last line");
    JsonLogHandler.awaitFlush();
  }
}
