package io.umberpath.traffic;

/** A value that decays exponentially. The owner synchronizes access. */
public final class DecayingValue {
  private final double halfLifeMillis;
  private double value;
  private long updatedMillis;

  /**
   * Creates a value of 0.
   *
   * @param halfLifeMillis half-life, milliseconds
   */
  public DecayingValue(double halfLifeMillis) {
    this.halfLifeMillis = halfLifeMillis;
  }

  /** Returns the decayed value. */
  public double get(long nowMillis) {
    return value == 0 ? 0 : value * decayFactor(nowMillis - updatedMillis, halfLifeMillis);
  }

  /** Adds to the decayed value. */
  public void add(long nowMillis, double amount) {
    value = get(nowMillis) + amount;
    updatedMillis = nowMillis;
  }

  /** Share that remains at an age. */
  public static double decayFactor(long ageMillis, double halfLifeMillis) {
    return ageMillis <= 0 ? 1 : Math.exp(-Math.log(2) * ageMillis / halfLifeMillis);
  }
}
