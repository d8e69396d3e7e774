package io.umberpath.traffic;

/** A number that halves with time. Owner synchronizes. */
public final class DecayingValue {
  private final double halfLifeMillis;
  private double value;
  private long updatedMillis;

  /**
   * Creates one that is 0.
   *
   * @param halfLifeMillis time in which it halves, milliseconds
   */
  public DecayingValue(double halfLifeMillis) {
    this.halfLifeMillis = halfLifeMillis;
  }

  /** What is left of it now. */
  public double get(long nowMillis) {
    return value == 0 ? 0 : value * decayFactor(nowMillis - updatedMillis, halfLifeMillis);
  }

  /** Adds to what is left. */
  public void add(long nowMillis, double amount) {
    value = get(nowMillis) + amount;
    updatedMillis = nowMillis;
  }

  /** What is left of 1 at an age. */
  public static double decayFactor(long ageMillis, double halfLifeMillis) {
    return ageMillis <= 0 ? 1 : Math.exp(-Math.log(2) * ageMillis / halfLifeMillis);
  }
}
