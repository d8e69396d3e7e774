package io.umberpath.traffic.simulation;

import io.umberpath.model.Tier;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Counts of one simulated run. */
final class Outcome {
  private final Scenario scenario;
  private final Map<Tier, long[]> offeredAndAnswered = new EnumMap<>(Tier.class);
  private long[] latencies = new long[1 << 16];
  private int answered;
  long offered;
  long attempts;
  long refusedAtOnce;

  Outcome(Scenario scenario) {
    this.scenario = scenario;
    for (Tier tier : Tier.values()) {
      offeredAndAnswered.put(tier, new long[2]);
    }
  }

  void offered(Tier tier) {
    offered++;
    offeredAndAnswered.get(tier)[0]++;
  }

  /** The caller got its answer; it counts if it came before the deadline. */
  void answered(Tier tier, long micros) {
    if (micros > Scenario.DEADLINE_MILLIS * 1_000) {
      return;
    }
    if (answered == latencies.length) {
      latencies = Arrays.copyOf(latencies, 2 * answered);
    }
    latencies[answered++] = micros;
    offeredAndAnswered.get(tier)[1]++;
  }

  /** Answers in time a second, against the capacity. */
  double goodput() {
    return answered / (double) scenario.seconds() / scenario.capacity();
  }

  /** Share of the tier's requests answered in time. */
  double answeredOf(Tier tier) {
    long[] counts = offeredAndAnswered.get(tier);
    return counts[1] / (double) counts[0];
  }

  double attemptsPerRequest() {
    return attempts / (double) offered;
  }

  double millis(double quantile) {
    long[] sorted = Arrays.copyOf(latencies, answered);
    Arrays.sort(sorted);
    return answered == 0 ? 0 : sorted[(int) Math.min(answered - 1, quantile * answered)] / 1e3;
  }

  static String header() {
    return "| policy | load | lag ms | on answers | lying | slow | goodput/capacity | p50 ms | p99 ms | premium |"
        + " standard | basic | attempts/request |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|";
  }

  String row() {
    return String.format(
        Locale.ROOT,
        "| %s | %.2f | %d | %s | %d | %d | %.3f | %.1f | %.1f | %.4f | %.4f | %.4f | %.3f |",
        scenario.policy().name().toLowerCase(Locale.ROOT),
        scenario.load(),
        scenario.reportLagMillis(),
        scenario.loadOnAnswers() ? "yes" : "no",
        scenario.lying(),
        scenario.slow(),
        goodput(),
        millis(0.5),
        millis(0.99),
        answeredOf(Tier.PREMIUM),
        answeredOf(Tier.STANDARD),
        answeredOf(Tier.BASIC),
        attemptsPerRequest());
  }
}
