package io.umberpath.lab.backend;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** How truthful the health and load endpoints are. */
public enum SignalMode {
  /** Truthful, if late. */
  HONEST,
  /** Always ready and idle. */
  ALWAYS_IDLE,
  /** Busy when idle, idle when busy. */
  INVERTED;

  /** Its name in calls, for example {@code always-idle}. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** The mode of that label, if there is one. */
  public static Optional<SignalMode> ofLabel(String label) {
    return Arrays.stream(values()).filter(mode -> mode.label().equals(label)).findFirst();
  }
}
