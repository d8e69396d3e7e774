package io.umberpath.traffic;

import java.util.List;

/** Several limits that all have to allow a start. Thread-safe. */
public final class CombinedStartLimiter implements StartLimiter {
  private final List<StartLimiter> limiters;

  /** Combines limits. */
  public CombinedStartLimiter(StartLimiter... limiters) {
    this.limiters = List.of(limiters);
  }

  @Override
  public boolean canStart(long nowMillis) {
    return limiters.stream().allMatch(limiter -> limiter.canStart(nowMillis));
  }

  @Override
  public void recordStart(long nowMillis) {
    limiters.forEach(limiter -> limiter.recordStart(nowMillis));
  }

  @Override
  public double waitMillis(long nowMillis, int requestsAhead) {
    return limiters.stream()
        .mapToDouble(limiter -> limiter.waitMillis(nowMillis, requestsAhead))
        .max()
        .orElse(0);
  }

  @Override
  public int usableSlots(long nowMillis, int slots, long serviceMicros) {
    return limiters.stream()
        .mapToInt(limiter -> limiter.usableSlots(nowMillis, slots, serviceMicros))
        .min()
        .orElse(slots);
  }

  @Override
  public double intervalMillis() {
    return limiters.stream().mapToDouble(StartLimiter::intervalMillis).max().orElse(0);
  }

  @Override
  public void recordRefusal(long nowMillis) {
    limiters.forEach(limiter -> limiter.recordRefusal(nowMillis));
  }
}
