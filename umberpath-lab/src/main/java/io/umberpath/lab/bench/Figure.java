package io.umberpath.lab.bench;

import java.util.OptionalDouble;

/**
 * One measured figure.
 *
 * @param name what was measured
 * @param value the measured value
 * @param unit its unit
 * @param limit the largest value allowed, if there is one
 * @param promise whether exceeding the limit breaks a promise, whatever the machine
 */
public record Figure(
    String name, double value, String unit, OptionalDouble limit, boolean promise) {
  /** A figure without a limit. */
  public static Figure of(String name, double value, String unit) {
    return new Figure(name, value, unit, OptionalDouble.empty(), false);
  }

  /** A figure whose limit is a target on the machines of a deployment. */
  public static Figure target(String name, double value, String unit, double limit) {
    return new Figure(name, value, unit, OptionalDouble.of(limit), false);
  }

  /** A figure whose limit always holds. */
  public static Figure promise(String name, double value, String unit, double limit) {
    return new Figure(name, value, unit, OptionalDouble.of(limit), true);
  }

  /** Whether it is within its limit; true without one. */
  public boolean isWithin() {
    return limit.isEmpty() || value <= limit.getAsDouble();
  }
}
