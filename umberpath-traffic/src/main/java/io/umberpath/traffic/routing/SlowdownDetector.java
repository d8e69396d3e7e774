package io.umberpath.traffic.routing;

import java.util.Arrays;
import java.util.Collection;

/**
 * Detects a slowdown of a backend from the ages of its running requests, before the first slow
 * request ends.
 */
public final class SlowdownDetector {
  /** Running requests that are needed for an estimate. */
  private static final int MIN_RUNNING = 3;

  /** Factor below which a slowdown may be noise. */
  private static final double SIGNIFICANT_FACTOR = 2.5;

  /** On average a running request is at half of its duration. */
  private static final double DURATION_PER_AGE = 2;

  private SlowdownDetector() {}

  /**
   * A running request.
   *
   * @param ageMicros time since its start, microseconds
   * @param expectedMicros expected duration for its route, microseconds; 0 if not known
   */
  public record Running(long ageMicros, long expectedMicros) {}

  /** Estimates the slowdown factor; 1 if there is no significant slowdown. */
  public static double slowdownFactor(Collection<Running> running) {
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
