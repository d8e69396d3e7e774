package io.umberpath.node.logs;

import com.google.common.flogger.FluentLogger;

/** A process that logs more than a pipe and the buffer hold, then says so on standard error. */
public final class LogFloodMain {
  static final int LINES = 20_000;
  static final String DONE = "every line was handed over";

  private LogFloodMain() {}

  /** Logs; ends when its standard input does. */
  public static void main(String[] arguments) throws Exception {
    JsonLines.install();
    FluentLogger logger = FluentLogger.forEnclosingClass();
    for (int line = 0; line < LINES; line++) {
      logger.atInfo().log("line %d of a reader that does not read", line);
    }
    System.err.println(DONE);
    System.in.read();
    // The reader reads again: one more line carries the count of those that were dropped.
    logger.atInfo().log("the last line");
    JsonLines.awaitWritten();
  }
}
