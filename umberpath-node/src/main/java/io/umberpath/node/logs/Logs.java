package io.umberpath.node.logs;

import org.apache.logging.log4j.jul.Log4jBridgeHandler;

/** Sets up the process's log lines. */
public final class Logs {
  private static final String ROOT_SUFFIX = "";

  private Logs() {}

  /** Sends what libraries log through {@code java.util.logging} the same way as the rest. */
  public static void bridgeLibraries() {
    Log4jBridgeHandler.install(true, ROOT_SUFFIX, true);
  }
}
