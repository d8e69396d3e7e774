package io.umberpath.node.logs;

import java.util.logging.LogManager;

/**
 * Keeps the handlers until the process ends. The one of the class library removes them as soon as
 * the end begins, so that nothing of a planned stop would be logged.
 */
public final class NonResettingLogManager extends LogManager {
  /** System property that names the class to use. */
  static final String PROPERTY = "java.util.logging.manager";

  @Override
  public void reset() {
    // See above.
  }
}
