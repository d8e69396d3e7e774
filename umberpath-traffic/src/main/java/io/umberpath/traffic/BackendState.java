package io.umberpath.traffic;

import io.umberpath.model.ObservedBackend;
import io.umberpath.model.ObservedBackend.Phase;
import io.umberpath.model.Tier;
import io.umberpath.model.Verdict;

/** What one edge proxy knows of one back end: its own attempts and the last report. */
final class BackendState {
  /** Weight of one sample; small, for the noise of a larger one outweighs the loads compared. */
  private static final double LATENCY_WEIGHT = 0.015;

  /** A latency within this factor of the pool's says nothing. */
  private static final double LATENCY_BAND = 1.3;

  private static final double MIN_LATENCY_FACTOR = 0.5;
  private static final double MAX_LATENCY_FACTOR = 4;

  private static final double LATENCY_HALF_LIFE_MILLIS = 2_000;
  private static final double REFUSAL_HALF_LIFE_MILLIS = 500;
  private static final double DOUBT_HALF_LIFE_MILLIS = 10_000;
  private static final double SMOOTHING_MILLIS = 500;

  /**
   * Weight of a fresh report. All edge proxies hear the same reports late; a full weight makes them
   * move together and overshoot.
   */
  private static final double REPORT_GAIN = 0.25;

  private static final double SLOW_DOUBT = 0.1;
  private static final double SLOW_FACTOR = 2;
  private static final int FULL_LOAD_PERCENT = 100;
  private static final long LOCAL_DRAIN_MILLIS = 5_000;
  private static final long NOT_READY_MILLIS = 200;
  private static final int MAX_EJECTION_FACTOR = 8;
  private static final double SLOW_START_FLOOR = 0.1;

  private final BalancerSettings settings;
  private final long[] shedUntilMillis = new long[Tier.values().length];
  private final DecayingValue refusals = new DecayingValue(REFUSAL_HALF_LIFE_MILLIS);
  private final DecayingValue doubt = new DecayingValue(DOUBT_HALF_LIFE_MILLIS);
  private ObservedBackend report;
  private long reportedAtMillis;
  private double othersShare;
  private int slots = 1;
  private int inFlight;
  private double latencyMicros;
  private long latencyAtMillis;
  private double poolLatencyMicros;
  private int failuresInRow;
  private int ejections;
  private long ejectedUntilMillis;
  private long drainingUntilMillis;
  private long slowStartAtMillis;
  private boolean slowStart;
  private long touchedMillis;

  BackendState(BalancerSettings settings, long nowMillis, boolean isNew) {
    this.settings = settings;
    touchedMillis = nowMillis;
    if (isNew) {
      beginSlowStart(nowMillis);
    }
  }

  void started(long nowMillis) {
    inFlight++;
    touchedMillis = nowMillis;
  }

  void finished(long nowMillis, Verdict verdict, long micros) {
    inFlight = Math.max(0, inFlight - 1);
    touchedMillis = nowMillis;
    if (verdict instanceof Verdict.NotRun notRun) {
      refused(nowMillis, notRun.reason());
    } else if (verdict instanceof Verdict.MayHaveRun mayHaveRun) {
      outcomeUnknown(nowMillis, mayHaveRun.reason(), micros);
    } else {
      failuresInRow = 0;
      ejections = 0;
      addLatency(nowMillis, micros);
    }
    boolean slow = latencyFactor(nowMillis) > SLOW_FACTOR;
    if (slow && report != null && report.load() < FULL_LOAD_PERCENT / 2) {
      doubt.add(nowMillis, SLOW_DOUBT);
    }
  }

  private void refused(long nowMillis, Verdict.Reason reason) {
    switch (reason) {
      case OVERLOADED -> {
        refusals.add(nowMillis, 1);
        if (report != null && report.load() < FULL_LOAD_PERCENT) {
          doubt.add(nowMillis, 1);
        }
      }
      case DRAINING -> drainingUntilMillis = nowMillis + LOCAL_DRAIN_MILLIS;
      case NOT_READY -> shed(nowMillis, Tier.PREMIUM, NOT_READY_MILLIS);
      case UNREACHABLE -> failed(nowMillis);
      default -> {
        // The request's own fault or the caller's choice says nothing of the back end.
      }
    }
  }

  private void outcomeUnknown(long nowMillis, Verdict.Reason reason, long micros) {
    if (reason != Verdict.Reason.CANCELLED && reason != Verdict.Reason.DUPLICATE) {
      addLatency(nowMillis, micros);
      failed(nowMillis);
    }
  }

  private void failed(long nowMillis) {
    failuresInRow++;
    if (failuresInRow >= settings.ejectionFailures()) {
      failuresInRow = 0;
      ejections = Math.min(MAX_EJECTION_FACTOR, ejections + 1);
      ejectedUntilMillis = nowMillis + settings.ejectionMillis() * ejections;
      beginSlowStart(ejectedUntilMillis);
    }
  }

  private void addLatency(long nowMillis, long micros) {
    latencyMicros =
        latencyMicros == 0 ? micros : latencyMicros + LATENCY_WEIGHT * (micros - latencyMicros);
    latencyAtMillis = nowMillis;
  }

  /** It asked to be left alone by requests of the tier and lower ones for a time. */
  void shed(long nowMillis, Tier tier, long retryAfterMillis) {
    touchedMillis = nowMillis;
    for (int lower = tier.ordinal(); lower < shedUntilMillis.length; lower++) {
      shedUntilMillis[lower] = Math.max(shedUntilMillis[lower], nowMillis + retryAfterMillis);
    }
  }

  /** Takes a statement of the node beside it, unless a newer one is known. */
  void observed(long nowMillis, ObservedBackend statement) {
    if (report != null && !statement.supersedes(report)) {
      return;
    }
    touchedMillis = nowMillis;
    boolean wasAway = report != null && report.phase() != Phase.READY;
    if (statement.phase() == Phase.WARMING || (wasAway && statement.phase() == Phase.READY)) {
      beginSlowStart(nowMillis);
    }
    if (statement.phase() == Phase.READY) {
      drainingUntilMillis = 0;
    }
    double others = statement.load() / (double) FULL_LOAD_PERCENT - inFlight / (double) slots;
    double weight =
        report == null
            ? 1
            : 1 - DecayingValue.weight(nowMillis - reportedAtMillis, SMOOTHING_MILLIS);
    othersShare += weight * (Math.max(0, others) - othersShare);
    report = statement;
    reportedAtMillis = nowMillis;
  }

  private void beginSlowStart(long atMillis) {
    slowStart = true;
    slowStartAtMillis = atMillis;
  }

  /** Whether it takes new work, as far as its node and its own answers say. */
  boolean inService(long nowMillis) {
    boolean leaving =
        report != null && (report.phase() == Phase.DRAINING || report.phase() == Phase.DOWN);
    return !leaving && nowMillis >= drainingUntilMillis;
  }

  /** Whether it failed too often of late. */
  boolean ejected(long nowMillis) {
    return nowMillis < ejectedUntilMillis;
  }

  long ejectedUntilMillis() {
    return ejectedUntilMillis;
  }

  /** How long requests of the tier still leave it alone, milliseconds. */
  long shedMillisLeft(long nowMillis, Tier tier) {
    return Math.max(0, shedUntilMillis[tier.ordinal()] - nowMillis);
  }

  /** Whether it has no attempt under way and nothing was heard of it since. */
  boolean idleSince(long millis) {
    return inFlight == 0 && touchedMillis < millis;
  }

  /** Mean latency of own attempts, microseconds; 0 if there is none. */
  double latencyMicros() {
    return latencyMicros;
  }

  /** How far the last report is believed, 0 to 1: less with age and with each contradiction. */
  double reportWeight(long nowMillis) {
    if (report == null) {
      return 0;
    }
    double fresh =
        DecayingValue.weight(nowMillis - reportedAtMillis, settings.reportHalfLifeMillis());
    return REPORT_GAIN * fresh / (1 + doubt.get(nowMillis));
  }

  /** Slots that the reports say others use, smoothed. */
  double reportedByOthers() {
    return othersShare * slots;
  }

  /**
   * Expected share of the slots in use if one more request came; slower or refusing back ends count
   * as fuller. A report that is not believed is replaced by the others' mean, never by nothing:
   * else an old or false report would draw requests.
   *
   * @param othersMean mean of {@link #reportedByOthers} over the pool
   * @param meanLatencyMicros mean latency over the pool, 0 if unknown
   */
  double load(long nowMillis, int poolSlots, double othersMean, double meanLatencyMicros) {
    poolLatencyMicros = meanLatencyMicros;
    slots = poolSlots;
    double weight = reportWeight(nowMillis);
    double others = weight * reportedByOthers() + (1 - weight) * othersMean;
    double used = inFlight + 1 + others + refusals.get(nowMillis);
    return used * latencyFactor(nowMillis) / (slots * warmth(nowMillis));
  }

  /** Own latency against the pool's, between 1/2 and 4; fades to 1 when nothing new is seen. */
  private double latencyFactor(long nowMillis) {
    if (latencyMicros == 0 || poolLatencyMicros == 0) {
      return 1;
    }
    double ratio =
        Math.min(
            MAX_LATENCY_FACTOR, Math.max(MIN_LATENCY_FACTOR, latencyMicros / poolLatencyMicros));
    if (ratio < LATENCY_BAND && ratio > 1 / LATENCY_BAND) {
      return 1;
    }
    double fresh = DecayingValue.weight(nowMillis - latencyAtMillis, LATENCY_HALF_LIFE_MILLIS);
    return 1 + (ratio - 1) * fresh;
  }

  /** Share of full speed that a new back end is trusted with. */
  private double warmth(long nowMillis) {
    boolean usedThoughEjected = nowMillis < slowStartAtMillis;
    if (!slowStart || usedThoughEjected) {
      return 1;
    }
    boolean warming = report != null && report.phase() == Phase.WARMING;
    double passed = (nowMillis - slowStartAtMillis) / (double) settings.slowStartMillis();
    if (!warming && passed >= 1) {
      slowStart = false;
      return 1;
    }
    return warming ? SLOW_START_FLOOR : Math.max(SLOW_START_FLOOR, passed);
  }
}
