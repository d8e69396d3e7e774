package io.umberpath.node.proxy.loop;

/** Is notified of selector thread iterations that delayed the reading of input. */
@FunctionalInterface
public interface IterationListener {
  /** Ignores all notifications. */
  IterationListener NONE = (micros, sockets) -> {};

  /**
   * Called when an iteration has ended; input that arrived during it is only read now.
   *
   * @param micros duration of the iteration, microseconds
   * @param sockets number of sockets that it served
   */
  void iterationEnded(long micros, int sockets);
}
