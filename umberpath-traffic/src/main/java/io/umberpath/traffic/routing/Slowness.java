package io.umberpath.traffic.routing;

import java.util.Arrays;
import java.util.Collection;

/**
 * How much slower than usual a back end is, seen from the ages of the requests that run there: it
 * shows before the first slow request ends.
 */
public final class Slowness {
  /** Running requests from which on their ages say something. */
  private static final int MIN_RUNNING = 3;

  /** Factor from which on it is no chance. */
  private static final double SIGNIFICANT_FACTOR = 2.5;

  /** On average a running request has half of its time behind it. */
  private static final double DURATION_PER_AGE = 2;

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
    if (running.size() < MIN_RUNNING) {
      return 1;
    }
    double[] ratios = new double[running.size()];
    int known = 0;
    for (Running each : running) {
      if (each.expectedMicros() > 0) {
        ratios[known++] = each.ageMicros() / (double) each.expectedMicros();
      }
    }
    if (known < MIN_RUNNING) {
      return 1;
    }
    Arrays.sort(ratios, 0, known);
    double factor = DURATION_PER_AGE * ratios[(known - 1) / 2];
    return factor < SIGNIFICANT_FACTOR ? 1 : factor;
  }
}
