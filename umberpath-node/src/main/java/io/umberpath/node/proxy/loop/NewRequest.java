package io.umberpath.node.proxy.loop;

/** A request on which no work has been spent yet, and which the event loop may refuse. */
public interface NewRequest {
  /** Begins the work. */
  void begin();

  /**
   * Refuses the request as not run, since the event loop is behind.
   *
   * @param waitedMillis how long it has waited for the event loop since it was read, milliseconds
   */
  void refuse(long waitedMillis);
}
