package io.umberpath.traffic;

import io.umberpath.model.ObservedBackend;
import io.umberpath.model.ObservedBackend.Phase;
import io.umberpath.model.Tier;
import io.umberpath.model.Verdict;

/** State that one edge proxy keeps about one backend: its own attempts and the last report. */
final class BackendState {
  /**
   * Weight of one sample; small, because with a larger one noise outweighs the load differences.
   */
  private static final double LATENCY_SAMPLE_WEIGHT = 0.015;

  /** A latency within this factor of the pool's mean is ignored. */
  private static final double LATENCY_TOLERANCE = 1.3;

  private static final double MIN_LATENCY_FACTOR = 0.5;
  private static final double MAX_LATENCY_FACTOR = 4;

  private static final double LATENCY_HALF_LIFE_MILLIS = 2_000;
  private static final double REFUSAL_HALF_LIFE_MILLIS = 500;
  private static final double DISTRUST_HALF_LIFE_MILLIS = 10_000;
  private static final double SMOOTHING_MILLIS = 500;

  /**
   * Weight of a fresh report. All edge proxies receive the same reports with a delay; at full
   * weight they would shift load in step and overshoot.
   */
  private static final double REPORT_GAIN = 0.25;

  private static final double SLOW_DISTRUST = 0.1;
  private static final double SLOW_FACTOR = 2;
  private static final int FULL_LOAD_PERCENT = 100;
  private static final long LOCAL_DRAIN_MILLIS = 5_000;
  private static final long NOT_READY_BACK_OFF_MILLIS = 200;
  private static final int MAX_EJECTION_FACTOR = 8;
  private static final double SLOW_START_FLOOR = 0.1;

  private final BalancerSettings settings;
  private final long[] backOffUntilMillis = new long[Tier.values().length];
  private final DecayingValue refusals = new DecayingValue(REFUSAL_HALF_LIFE_MILLIS);
  private final DecayingValue distrust = new DecayingValue(DISTRUST_HALF_LIFE_MILLIS);
  private ObservedBackend report;
  private long reportMillis;
  private double othersUtilization;
  private int slots = 1;
  private int inFlight;
  private double latencyMicros;
  private long latencyAtMillis;
  private double poolLatencyMicros;
  private int consecutiveFailures;
  private int ejections;
  private long ejectedUntilMillis;
  private long drainingUntilMillis;
  private long slowStartMillis;
  private boolean isSlowStarting;
  private long lastActiveMillis;

  BackendState(BalancerSettings settings, long nowMillis, boolean isNew) {
    this.settings = settings;
    lastActiveMillis = nowMillis;
    if (isNew) {
      beginSlowStart(nowMillis);
    }
  }

  void recordAttemptStart(long nowMillis) {
    inFlight++;
    lastActiveMillis = nowMillis;
  }

  void recordAttemptEnd(long nowMillis, Verdict verdict, long micros) {
    inFlight = Math.max(0, inFlight - 1);
    lastActiveMillis = nowMillis;
    if (verdict instanceof Verdict.NotRun notRun) {
      recordRefusal(nowMillis, notRun.reason());
    } else if (verdict instanceof Verdict.MayHaveRun mayHaveRun) {
      recordUnknownOutcome(nowMillis, mayHaveRun.reason(), micros);
    } else {
      consecutiveFailures = 0;
      ejections = 0;
      addLatency(nowMillis, micros);
    }
    boolean slow = latencyFactor(nowMillis) > SLOW_FACTOR;
    if (slow && report != null && report.load() < FULL_LOAD_PERCENT / 2) {
      distrust.add(nowMillis, SLOW_DISTRUST);
    }
  }

  private void recordRefusal(long nowMillis, Verdict.Reason reason) {
    switch (reason) {
      case OVERLOADED -> {
        refusals.add(nowMillis, 1);
        if (report != null && report.load() < FULL_LOAD_PERCENT) {
          distrust.add(nowMillis, 1);
        }
      }
      case DRAINING -> drainingUntilMillis = nowMillis + LOCAL_DRAIN_MILLIS;
      case NOT_READY -> backOff(nowMillis, Tier.PREMIUM, NOT_READY_BACK_OFF_MILLIS);
      case UNREACHABLE -> recordFailure(nowMillis);
      default -> {
        // Errors of the request or choices of the client are no evidence about the backend.
      }
    }
  }

  private void recordUnknownOutcome(long nowMillis, Verdict.Reason reason, long micros) {
    if (reason != Verdict.Reason.CANCELLED && reason != Verdict.Reason.DUPLICATE) {
      addLatency(nowMillis, micros);
      recordFailure(nowMillis);
    }
  }

  private void recordFailure(long nowMillis) {
    consecutiveFailures++;
    if (consecutiveFailures >= settings.ejectionFailures()) {
      consecutiveFailures = 0;
      ejections = Math.min(MAX_EJECTION_FACTOR, ejections + 1);
      ejectedUntilMillis = nowMillis + settings.ejectionMillis() * ejections;
      beginSlowStart(ejectedUntilMillis);
    }
  }

  private void addLatency(long nowMillis, long micros) {
    latencyMicros =
        latencyMicros == 0
            ? micros
            : latencyMicros + LATENCY_SAMPLE_WEIGHT * (micros - latencyMicros);
    latencyAtMillis = nowMillis;
  }

  /** Backs off from the backend for requests of the tier and lower ones. */
  void backOff(long nowMillis, Tier tier, long retryAfterMillis) {
    lastActiveMillis = nowMillis;
    for (int lower = tier.ordinal(); lower < backOffUntilMillis.length; lower++) {
      backOffUntilMillis[lower] = Math.max(backOffUntilMillis[lower], nowMillis + retryAfterMillis);
    }
  }

  /** Applies a report of the node beside the backend, unless a newer one is known. */
  void updateReport(long nowMillis, ObservedBackend newReport) {
    if (report != null && !newReport.supersedes(report)) {
      return;
    }
    lastActiveMillis = nowMillis;
    boolean wasAway = report != null && report.phase() != Phase.READY;
    if (newReport.phase() == Phase.WARMING || (wasAway && newReport.phase() == Phase.READY)) {
      beginSlowStart(nowMillis);
    }
    if (newReport.phase() == Phase.READY) {
      drainingUntilMillis = 0;
    }
    double utilizationByOthers =
        newReport.load() / (double) FULL_LOAD_PERCENT - inFlight / (double) slots;
    double weight =
        report == null
            ? 1
            : 1 - DecayingValue.decayFactor(nowMillis - reportMillis, SMOOTHING_MILLIS);
    othersUtilization += weight * (Math.max(0, utilizationByOthers) - othersUtilization);
    report = newReport;
    reportMillis = nowMillis;
  }

  private void beginSlowStart(long atMillis) {
    isSlowStarting = true;
    slowStartMillis = atMillis;
  }

  /** Whether the backend accepts new work according to its node and its own responses. */
  boolean isInService(long nowMillis) {
    boolean isOutOfService =
        report != null && (report.phase() == Phase.DRAINING || report.phase() == Phase.DOWN);
    return !isOutOfService && nowMillis >= drainingUntilMillis;
  }

  /** Whether the backend is ejected because of consecutive failures. */
  boolean isEjected(long nowMillis) {
    return nowMillis < ejectedUntilMillis;
  }

  long ejectedUntilMillis() {
    return ejectedUntilMillis;
  }

  /** Remaining back-off for requests of the tier, milliseconds. */
  long remainingBackOffMillis(long nowMillis, Tier tier) {
    return Math.max(0, backOffUntilMillis[tier.ordinal()] - nowMillis);
  }

  /** Whether no attempt is in flight and nothing was recorded since that time. */
  boolean isIdleSince(long millis) {
    return inFlight == 0 && lastActiveMillis < millis;
  }

  /** Mean latency of this proxy's attempts, microseconds; 0 if there are none. */
  double latencyMicros() {
    return latencyMicros;
  }

  /** Weight of the last report, 0 to 1: decreases with age and with each contradiction. */
  double reportWeight(long nowMillis) {
    if (report == null) {
      return 0;
    }
    double freshness =
        DecayingValue.decayFactor(nowMillis - reportMillis, settings.reportHalfLifeMillis());
    return REPORT_GAIN * freshness / (1 + distrust.get(nowMillis));
  }

  /** Slots used by other proxies according to the reports, smoothed. */
  double slotsUsedByOthers() {
    return othersUtilization * slots;
  }

  /**
   * Expected utilization of the slots with one more request; slower or refusing backends count as
   * fuller. A report that is not trusted is replaced by the mean of the others, never by zero:
   * otherwise an old or false report would attract requests.
   *
   * @param meanUsedByOthers mean of {@link #slotsUsedByOthers} over the pool
   * @param meanLatencyMicros mean latency over the pool, 0 if unknown
   */
  double load(long nowMillis, int poolSlots, double meanUsedByOthers, double meanLatencyMicros) {
    poolLatencyMicros = meanLatencyMicros;
    slots = poolSlots;
    double weight = reportWeight(nowMillis);
    double usedByOthers = weight * slotsUsedByOthers() + (1 - weight) * meanUsedByOthers;
    double used = inFlight + 1 + usedByOthers + refusals.get(nowMillis);
    return used * latencyFactor(nowMillis) / (slots * slowStartFactor(nowMillis));
  }

  /**
   * Own latency relative to the pool's mean, between 1/2 and 4; decays to 1 without new samples.
   */
  private double latencyFactor(long nowMillis) {
    if (latencyMicros == 0 || poolLatencyMicros == 0) {
      return 1;
    }
    double ratio =
        Math.min(
            MAX_LATENCY_FACTOR, Math.max(MIN_LATENCY_FACTOR, latencyMicros / poolLatencyMicros));
    if (ratio < LATENCY_TOLERANCE && ratio > 1 / LATENCY_TOLERANCE) {
      return 1;
    }
    double freshness =
        DecayingValue.decayFactor(nowMillis - latencyAtMillis, LATENCY_HALF_LIFE_MILLIS);
    return 1 + (ratio - 1) * freshness;
  }

  /** Share of the full load that a backend gets during slow start. */
  private double slowStartFactor(long nowMillis) {
    boolean isUsedThoughEjected = nowMillis < slowStartMillis;
    if (!isSlowStarting || isUsedThoughEjected) {
      return 1;
    }
    boolean isWarming = report != null && report.phase() == Phase.WARMING;
    double progress = (nowMillis - slowStartMillis) / (double) settings.slowStartMillis();
    if (!isWarming && progress >= 1) {
      isSlowStarting = false;
      return 1;
    }
    return isWarming ? SLOW_START_FLOOR : Math.max(SLOW_START_FLOOR, progress);
  }
}
