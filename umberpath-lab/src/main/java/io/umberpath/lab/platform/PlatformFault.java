package io.umberpath.lab.platform;

import io.umberpath.lab.Labels;
import java.util.Optional;

/** What the platform stand-in does wrong. */
public enum PlatformFault {
  /** Nothing. */
  NONE,
  /** The port is closed. */
  DOWN,
  /** Requests are taken and never answered. */
  SILENT,
  /** Answers come after {@link PlatformStandIn#SLOW_MILLIS}. */
  SLOW,
  /** The document of the moment the fault began is served for ever. */
  STALE,
  /** The document is cut in half. */
  GARBLED,
  /** The document before the newest is served. */
  GOING_BACK;

  /** Its name on the command line and in calls, for example {@code going-back}. */
  public String label() {
    return Labels.of(this);
  }

  /** The fault of that label, if there is one. */
  public static Optional<PlatformFault> ofLabel(String label) {
    return Labels.find(PlatformFault.class, label);
  }
}
