package io.umberpath.node;

import java.io.IOException;

/** A component of a node process that is started once and closed once. */
public interface NodeComponent extends AutoCloseable {
  /**
   * Starts the component; returns when it accepts work.
   *
   * @throws IOException if an address cannot be bound or a file cannot be read
   */
  void start() throws IOException;

  /** Stops the component; returns when none of its tasks run any more. */
  @Override
  void close();
}
