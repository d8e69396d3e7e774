package io.umberpath.traffic.routing;

import java.util.Collection;

/**
 * How much slower than usual a back end is, seen from the ages of the requests that run there: it
 * shows before the first slow request ends.
 */
public final class Slowness {
  /** Running requests from which on their ages say something. */
  private static final int MIN_RUNNING = 3;

  /** Factor from which on it is no chance. */
  private static final double MIN_FACTOR = 2.5;

  /** On average a running request has half of its time behind it. */
  private static final double AGE_TO_TIME = 2;

  private Slowness() {}

  /**
   * A request that runs.
   *
   * @param ageMicros how long it has run
   * @param expectedMicros how long its route's requests take; 0 if not known
   */
  public record Running(long ageMicros, long expectedMicros) {}

  /** The factor; 1 where nothing speaks for more. */
  public static double of(Collection<Running> running) {
    double[] ratios =
        running.stream()
            .filter(each -> each.expectedMicros() > 0)
            .mapToDouble(each -> each.ageMicros() / (double) each.expectedMicros())
            .sorted()
            .toArray();
    if (ratios.length < MIN_RUNNING) {
      return 1;
    }
    double factor = AGE_TO_TIME * ratios[(ratios.length - 1) / 2];
    return factor < MIN_FACTOR ? 1 : factor;
  }
}
