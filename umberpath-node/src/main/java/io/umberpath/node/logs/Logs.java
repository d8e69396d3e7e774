package io.umberpath.node.logs;

import org.apache.logging.log4j.jul.Log4jBridgeHandler;

/** Configures logging of the process. */
public final class Logs {
  private static final String ROOT_SUFFIX = "";

  private Logs() {}

  /** Routes {@code java.util.logging} records of libraries to Log4j. */
  public static void bridgeJavaUtilLogging() {
    Log4jBridgeHandler.install(true, ROOT_SUFFIX, true);
  }
}
