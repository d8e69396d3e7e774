package io.umberpath.lab.backend;

import io.umberpath.lab.workload.RequestKind;
import java.util.SplittableRandom;

/** Seeded log-normal service times, longer while cold. Thread-safe. */
final class ServiceTimes {
  private final SplittableRandom random;
  private final long warmMillis;
  private final double coldFactor;

  ServiceTimes(BackendSettings settings) {
    this.random = new SplittableRandom(settings.seed());
    this.warmMillis = settings.warmMillis();
    this.coldFactor = settings.coldFactor();
  }

  /** Microseconds the next request of that kind takes. */
  synchronized long nextMicros(RequestKind kind, long ageMillis) {
    double warm = kind.medianMicros() * Math.exp(kind.sigma() * random.nextGaussian());
    return Math.round(warm * slowdown(ageMillis));
  }

  private double slowdown(long ageMillis) {
    if (ageMillis >= warmMillis) {
      return 1;
    }
    double coldShare = 1 - (double) ageMillis / warmMillis;
    return 1 + (coldFactor - 1) * coldShare;
  }
}
