package io.umberpath.traffic;

/** Creates admission controllers. */
public final class AdmissionControllers {
  private AdmissionControllers() {}

  /** A controller with no request in it, for one back end. */
  public static AdmissionController create(AdmissionSettings settings) {
    return new SlotAdmissionController(settings);
  }

  /**
   * Creates the controller of one back end that takes requests in the order they are due.
   *
   * @param coldStartLimiter bounds what the back end gets while it is cold
   */
  public static AdmissionController createInDueOrder(
      AdmissionSettings settings, ColdStartLimiter coldStartLimiter) {
    return new DueOrderAdmissionController(settings, coldStartLimiter);
  }
}
