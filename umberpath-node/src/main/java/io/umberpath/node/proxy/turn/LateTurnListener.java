package io.umberpath.node.proxy.turn;

/** Hears of turns of a selector thread that kept what had arrived waiting. */
@FunctionalInterface
public interface LateTurnListener {
  /** Hears nothing. */
  LateTurnListener NONE = (micros, events) -> {};

  /**
   * A turn has ended; what arrived meanwhile is read only now.
   *
   * @param micros how long it took, microseconds
   * @param events sockets it was busy with
   */
  void turnEnded(long micros, int events);
}
