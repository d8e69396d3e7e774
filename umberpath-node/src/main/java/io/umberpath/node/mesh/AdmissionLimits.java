package io.umberpath.node.mesh;

import io.umberpath.traffic.AdmissionSettings;

/** Limits of the admission control of a node, which are the same for slots and link. */
final class AdmissionLimits {
  private static final int INITIAL_SERVICE_TIME_MICROS = 50_000;
  private static final int QUEUE_LIMIT = 256;
  private static final int STARVATION_BOUND = 32;
  private static final long MAX_RETRY_AFTER_MILLIS = 2_000;

  private AdmissionLimits() {}

  /**
   * Returns the settings of an admission controller.
   *
   * @param slots requests that run, or bodies that are received, at the same time
   * @param minRetryAfterMillis shortest retry-after of a refused request, milliseconds
   */
  static AdmissionSettings settings(int slots, long minRetryAfterMillis) {
    return new AdmissionSettings(
        slots,
        QUEUE_LIMIT,
        STARVATION_BOUND,
        INITIAL_SERVICE_TIME_MICROS,
        minRetryAfterMillis,
        MAX_RETRY_AFTER_MILLIS);
  }
}
