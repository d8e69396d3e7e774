package io.umberpath.node.mesh;

import java.util.Locale;

/** The long-lived threads of a node, and the tasks of its timer. */
enum MeshTask {
  /** Calls the store. */
  STORE,
  /** Starts transfers from other nodes. */
  PULLER,
  /** Runs one transfer from another node. */
  TRANSFER,
  /** Serves state requests of other nodes. */
  STATE,
  /** Receives reports of other nodes. */
  REPORTS,
  /** Runs periodic tasks. */
  TIMER,
  /** Parses an example configuration after the start. */
  WARM_UP,
  /** Applies held items again after a failed attempt. */
  REFRESH,
  /** Shuts the node down. */
  SHUTDOWN;

  private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

  /** The name in log lines and metrics. */
  String label() {
    return label;
  }

  /** Creates a daemon thread for this task without starting it. */
  Thread newThread(Runnable runnable) {
    Thread thread = new Thread(runnable, "umberpath-" + label);
    thread.setDaemon(true);
    return thread;
  }
}
