package io.umberpath.traffic.load;

/**
 * What a backend states about itself in a response.
 *
 * @param running requests that it processes
 * @param waiting requests in its own queue
 * @param slots requests that it processes concurrently, at least 1
 * @param slownessPercent current response time relative to its usual one, percent; {@link
 *     #USUAL_PERCENT} as usual, and if it does not state one
 */
public record BackendStatement(int running, int waiting, int slots, int slownessPercent) {
  /** Slowdown of a backend at its usual speed. */
  public static final int USUAL_PERCENT = 100;
}
