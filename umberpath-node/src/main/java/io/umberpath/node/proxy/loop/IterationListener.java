package io.umberpath.node.proxy.loop;

/** Is notified when a selector thread is behind. */
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

  /**
   * Called when requests were refused because the thread is behind.
   *
   * @param count number of requests
   * @param longestMillis how long one of them has waited for the thread at most, milliseconds
   */
  default void requestsOvertaken(RequestOrigin origin, int count, long longestMillis) {}
}
