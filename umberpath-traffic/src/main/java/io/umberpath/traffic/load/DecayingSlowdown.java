package io.umberpath.traffic.load;

import io.umberpath.traffic.DecayingValue;

/**
 * How slow a back end was when that was last stated, believed less the older it is. Owner
 * synchronizes.
 */
public final class DecayingSlowdown {
  /**
   * Age at which half of a deviation from the usual is believed, milliseconds. Where back ends
   * share their machines, 6,721 statements of 21 of them showed: of those that were slow, 0.81 were
   * still slow after 150 ms, 0.64 after 250 ms, 0.45 after 400 ms and 0.18 after 650 ms.
   */
  private static final double HALF_LIFE_MILLIS = 300;

  /** Most that a lasting deviation prolongs it to, milliseconds: what ended is seen soon enough. */
  private static final double MAX_HALF_LIFE_MILLIS = 3_000;

  /** Deviation from the usual from which on it is slow, or fast, and not just as usual. */
  private static final double SIGNIFICANT_FACTOR = 1.25;

  private static final double NORMAL = 1;

  private double lastFactor = NORMAL;
  private long updatedMillis;
  private long levelSinceMillis;

  /**
   * Takes a statement.
   *
   * @param factor how long work takes against its usual time; 1 as usual
   */
  public void update(long nowMillis, double factor) {
    if (level(factor) != level(lastFactor)) {
      levelSinceMillis = nowMillis;
    }
    lastFactor = factor;
    updatedMillis = nowMillis;
  }

  private static int level(double factor) {
    return factor >= SIGNIFICANT_FACTOR ? 1 : factor <= NORMAL / SIGNIFICANT_FACTOR ? -1 : 0;
  }

  /** The factor to reckon with now. What has lasted for some time is expected to last as long. */
  public double factorAt(long nowMillis) {
    double durationMillis = updatedMillis - levelSinceMillis;
    double halfLifeMillis =
        Math.min(MAX_HALF_LIFE_MILLIS, Math.max(HALF_LIFE_MILLIS, durationMillis));
    return NORMAL
        + (lastFactor - NORMAL) * DecayingValue.weight(nowMillis - updatedMillis, halfLifeMillis);
  }
}
