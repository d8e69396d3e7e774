package io.umberpath.lab.backend;

/**
 * How one back-end stand-in behaves.
 *
 * @param id its id in the platform's document
 * @param slots requests it runs at a time
 * @param connections connections it accepts; more are closed at once
 * @param queue requests that may wait for a slot before it sheds
 * @param openMillis extra time of the first request of a connection
 * @param probeMillis time of a health or load probe
 * @param warmMillis time from start to full speed
 * @param coldFactor how many times slower it is at the very start
 * @param seed seed of its service times
 */
public record BackendSettings(
    String id,
    int slots,
    int connections,
    int queue,
    long openMillis,
    long probeMillis,
    long warmMillis,
    double coldFactor,
    long seed) {
  private static final int SLOTS = 6;
  private static final int CONNECTIONS = 130;
  private static final int QUEUE = 6;
  private static final long OPEN_MILLIS = 1;
  private static final long WARM_MILLIS = 2_000;
  private static final double COLD_FACTOR = 3;

  /** The sizes of both deployments. */
  public static BackendSettings standard(String id, long probeMillis, long seed) {
    return new BackendSettings(
        id, SLOTS, CONNECTIONS, QUEUE, OPEN_MILLIS, probeMillis, WARM_MILLIS, COLD_FACTOR, seed);
  }
}
