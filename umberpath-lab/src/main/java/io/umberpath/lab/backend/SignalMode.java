package io.umberpath.lab.backend;

import io.umberpath.lab.Labels;
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
    return Labels.of(this);
  }

  /** The mode of that label, if there is one. */
  public static Optional<SignalMode> ofLabel(String label) {
    return Labels.find(SignalMode.class, label);
  }
}
