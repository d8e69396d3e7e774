package io.umberpath.node.logs;

import java.util.logging.LogManager;

/**
 * Keeps the log handlers until the process exits. The JDK's log manager removes them as soon as the
 * JVM begins to shut down, so that nothing of a graceful shutdown would be logged.
 */
public final class NonResettingLogManager extends LogManager {
  /** System property that selects the log manager class. */
  static final String PROPERTY = "java.util.logging.manager";

  @Override
  public void reset() {
    // Does nothing, so that the handlers stay installed during shutdown.
  }
}
