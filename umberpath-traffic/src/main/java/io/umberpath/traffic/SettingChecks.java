package io.umberpath.traffic;

/** Validation of settings; each error names field, value and bound. */
public final class SettingChecks {
  private SettingChecks() {}

  /**
   * Rejects a value below its bound.
   *
   * @throws IllegalArgumentException if it is below
   */
  public static void requireAtLeast(String field, long value, long bound) {
    if (value < bound) {
      throw new IllegalArgumentException(field + " is " + value + ", must be at least " + bound);
    }
  }

  /**
   * Rejects a value outside its inclusive bounds, and NaN.
   *
   * @throws IllegalArgumentException if it is outside
   */
  public static void requireBetween(String field, double value, double low, double high) {
    if (!(value >= low && value <= high)) {
      throw new IllegalArgumentException(
          field + " is " + value + ", must be between " + low + " and " + high);
    }
  }
}
