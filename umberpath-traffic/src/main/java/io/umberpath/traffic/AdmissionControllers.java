package io.umberpath.traffic;

/** Creates admission controllers. */
public final class AdmissionControllers {
  private AdmissionControllers() {}

  /** Creates the controller of one backend, with a queue in tier order. */
  public static AdmissionController create(AdmissionSettings settings) {
    return new SlotAdmissionController(settings);
  }

  /**
   * Creates the controller of one backend that admits requests in due order.
   *
   * @param coldStartLimiter limits the request rate while the backend is cold
   */
  public static AdmissionController createInDueOrder(
      AdmissionSettings settings, ColdStartLimiter coldStartLimiter) {
    return new DueOrderAdmissionController(settings, coldStartLimiter);
  }
}
