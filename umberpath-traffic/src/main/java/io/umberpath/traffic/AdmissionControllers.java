package io.umberpath.traffic;

/** Creates admission controllers. */
public final class AdmissionControllers {
  private AdmissionControllers() {}

  /** Creates the controller of one backend, with a queue in tier order. */
  public static AdmissionController create(AdmissionSettings settings) {
    return new SlotAdmissionController(settings);
  }

  /** Creates a controller that admits requests in due order as soon as a slot is free. */
  public static AdmissionController createInDueOrder(AdmissionSettings settings) {
    return createInDueOrder(settings, StartLimiter.UNLIMITED);
  }

  /**
   * Creates the controller of one backend that admits requests in due order.
   *
   * @param startLimiter limits when requests start in addition to the slots
   */
  public static AdmissionController createInDueOrder(
      AdmissionSettings settings, StartLimiter startLimiter) {
    return new DueOrderAdmissionController(settings, startLimiter);
  }
}
