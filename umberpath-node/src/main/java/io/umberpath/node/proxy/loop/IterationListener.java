package io.umberpath.node.proxy.loop;

/** Hears of iterations of a selector thread that kept what had arrived waiting. */
@FunctionalInterface
public interface IterationListener {
  /** Hears nothing. */
  IterationListener NONE = (micros, sockets) -> {};

  /**
   * An iteration has ended; what arrived meanwhile is read only now.
   *
   * @param micros how long it took, microseconds
   * @param sockets sockets that it served
   */
  void iterationEnded(long micros, int sockets);
}
