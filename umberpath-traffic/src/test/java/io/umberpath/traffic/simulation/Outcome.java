package io.umberpath.traffic.simulation;

import io.umberpath.model.Tier;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Metrics of one simulated run. */
final class Outcome {
  private final Scenario scenario;
  private final Map<Tier, long[]> requestsAndSuccesses = new EnumMap<>(Tier.class);
  private long[] latencies = new long[1 << 16];
  private int succeeded;
  long requests;
  long attempts;
  long refusedAtOnce;

  Outcome(Scenario scenario) {
    this.scenario = scenario;
    for (Tier tier : Tier.values()) {
      requestsAndSuccesses.put(tier, new long[2]);
    }
  }

  void recordRequest(Tier tier) {
    requests++;
    requestsAndSuccesses.get(tier)[0]++;
  }

  /** Records a response; only responses before the deadline count as success. */
  void recordResponse(Tier tier, long micros) {
    if (micros > Scenario.DEADLINE_MILLIS * 1_000) {
      return;
    }
    if (succeeded == latencies.length) {
      latencies = Arrays.copyOf(latencies, 2 * succeeded);
    }
    latencies[succeeded++] = micros;
    requestsAndSuccesses.get(tier)[1]++;
  }

  /** Responses in time per second, relative to the capacity. */
  double goodput() {
    return succeeded / (double) scenario.seconds() / scenario.capacity();
  }

  /** Share of the tier's requests with a response in time. */
  double successRate(Tier tier) {
    long[] counts = requestsAndSuccesses.get(tier);
    return counts[1] / (double) counts[0];
  }

  double attemptsPerRequest() {
    return attempts / (double) requests;
  }

  double latencyMillis(double quantile) {
    long[] sorted = Arrays.copyOf(latencies, succeeded);
    Arrays.sort(sorted);
    return succeeded == 0 ? 0 : sorted[(int) Math.min(succeeded - 1, quantile * succeeded)] / 1e3;
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
        scenario.loadInResponses() ? "yes" : "no",
        scenario.misreportingBackends(),
        scenario.slowBackends(),
        goodput(),
        latencyMillis(0.5),
        latencyMillis(0.99),
        successRate(Tier.PREMIUM),
        successRate(Tier.STANDARD),
        successRate(Tier.BASIC),
        attemptsPerRequest());
  }
}
