package io.umberpath.traffic;

/** Checks of settings; each error names field, value and bound. */
final class Settings {
  private Settings() {}

  static void atLeast(String field, long value, long bound) {
    if (value < bound) {
      throw new IllegalArgumentException(field + " is " + value + ", must be at least " + bound);
    }
  }

  static void between(String field, double value, double low, double high) {
    if (!(value >= low && value <= high)) {
      throw new IllegalArgumentException(
          field + " is " + value + ", must be between " + low + " and " + high);
    }
  }
}
