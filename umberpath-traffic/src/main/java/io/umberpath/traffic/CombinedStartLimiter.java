package io.umberpath.traffic;

/** Two limits that both have to allow a start. Thread-safe. */
public final class CombinedStartLimiter implements StartLimiter {
  private final StartLimiter first;
  private final StartLimiter second;

  /** Combines two limits. */
  public CombinedStartLimiter(StartLimiter first, StartLimiter second) {
    this.first = first;
    this.second = second;
  }

  @Override
  public boolean canStart(long nowMillis) {
    return first.canStart(nowMillis) && second.canStart(nowMillis);
  }

  @Override
  public void recordStart(long nowMillis) {
    first.recordStart(nowMillis);
    second.recordStart(nowMillis);
  }

  @Override
  public double waitMillis(long nowMillis, int requestsAhead) {
    return Math.max(
        first.waitMillis(nowMillis, requestsAhead), second.waitMillis(nowMillis, requestsAhead));
  }

  @Override
  public int usableSlots(long nowMillis, int slots, long serviceMicros) {
    return Math.min(
        first.usableSlots(nowMillis, slots, serviceMicros),
        second.usableSlots(nowMillis, slots, serviceMicros));
  }

  @Override
  public double intervalMillis() {
    return Math.max(first.intervalMillis(), second.intervalMillis());
  }

  @Override
  public void recordRefusal(long nowMillis) {
    first.recordRefusal(nowMillis);
    second.recordRefusal(nowMillis);
  }
}
