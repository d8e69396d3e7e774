package io.umberpath.node;

import java.io.IOException;

/** A part of a node process that is started once and closed once. */
public interface NodeComponent extends AutoCloseable {
  /**
   * Starts; returns when the part takes work.
   *
   * @throws IOException if an address cannot be bound or a file cannot be read
   */
  void start() throws IOException;

  /** Stops; returns when nothing of the part runs any more. */
  @Override
  void close();
}
