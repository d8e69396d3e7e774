package io.umberpath.traffic;

import io.umberpath.model.Tier;

/**
 * Limits of the admission control of one backend.
 *
 * @param slots requests that run concurrently, at least 1
 * @param queueLimit requests that wait, at least the number of tiers
 * @param starvationBound admissions of other tiers after which a waiting tier goes next, at least 1
 * @param initialServiceMicros assumed service time before any was measured, microseconds
 * @param minRetryAfterMillis shortest retry-after of a refused client, milliseconds
 * @param maxRetryAfterMillis longest retry-after, milliseconds
 */
public record AdmissionSettings(
    int slots,
    int queueLimit,
    int starvationBound,
    long initialServiceMicros,
    long minRetryAfterMillis,
    long maxRetryAfterMillis) {
  /** Queue places reserved for each tier, so that no tier can be shut out. */
  static final int RESERVED_PLACES_PER_TIER = 1;

  private static final int DEFAULT_QUEUE_PER_SLOT = 4;
  private static final int DEFAULT_STARVATION_BOUND = 16;
  private static final long DEFAULT_SERVICE_MICROS = 5_000;
  private static final long DEFAULT_MIN_RETRY_AFTER_MILLIS = 20;
  private static final long DEFAULT_MAX_RETRY_AFTER_MILLIS = 5_000;

  /** Validates the limits; the error names field and value. */
  public AdmissionSettings {
    SettingChecks.requireAtLeast("slots", slots, 1);
    SettingChecks.requireAtLeast("queueLimit", queueLimit, Tier.values().length);
    SettingChecks.requireAtLeast("starvationBound", starvationBound, 1);
    SettingChecks.requireAtLeast("initialServiceMicros", initialServiceMicros, 1);
    SettingChecks.requireAtLeast("minRetryAfterMillis", minRetryAfterMillis, 0);
    SettingChecks.requireAtLeast("maxRetryAfterMillis", maxRetryAfterMillis, minRetryAfterMillis);
  }

  /**
   * Defaults for a number of slots: 4 queue places a slot, one of 17 admissions for a waiting lower
   * tier, 5 ms of service time until measured, retry after 20 ms to 5 s.
   */
  public static AdmissionSettings forSlots(int slots) {
    return new AdmissionSettings(
        slots,
        Math.max(Math.multiplyExact(slots, DEFAULT_QUEUE_PER_SLOT), DEFAULT_QUEUE_PER_SLOT),
        DEFAULT_STARVATION_BOUND,
        DEFAULT_SERVICE_MICROS,
        DEFAULT_MIN_RETRY_AFTER_MILLIS,
        DEFAULT_MAX_RETRY_AFTER_MILLIS);
  }
}
