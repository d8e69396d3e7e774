package io.umberpath.traffic.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.Tier;
import io.umberpath.traffic.simulation.Scenario.Policy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Runs all decisions together in virtual time and compares them with the baselines in the same run.
 */
class TrafficSimulationTest {
  private static final int SECONDS = 2;

  @ParameterizedTest
  @CsvSource({"1", "2", "3"})
  void threefoldOverloadPreservesGoodputAndTheHighestTier(long seed) {
    Scenario scenario = new Scenario(Policy.UMBERPATH, 3, 200, true, 0, 0, SECONDS, seed);
    Outcome outcome = TrafficSimulation.run(scenario);
    assertThat(outcome.goodput()).isGreaterThan(0.9);
    assertThat(outcome.successRate(Tier.PREMIUM)).isGreaterThan(0.99);
    assertThat(outcome.successRate(Tier.BASIC)).isPositive();
    assertThat(outcome.attemptsPerRequest()).isLessThan(1.2);
    assertThat(TrafficSimulation.run(scenario.withPolicy(Policy.ROUND_ROBIN)).goodput())
        .isLessThan(0.5);
  }

  @ParameterizedTest
  @CsvSource({
    // load, lag, load in responses, misreporting, slow
    "0.7, 200, true, 0, 1",
    "0.7, 200, true, 1, 1",
    "0.7, 2000, false, 0, 1",
    "0.7, 2000, false, 1, 1"
  })
  void aSlowBackendAffectsLatencyLessThanRoundRobin(
      double load, long lag, boolean loadInResponses, int misreportingBackends, int slow) {
    Scenario scenario =
        new Scenario(
            Policy.UMBERPATH, load, lag, loadInResponses, misreportingBackends, slow, SECONDS, 1);
    Outcome balanced = TrafficSimulation.run(scenario);
    Outcome roundRobin = TrafficSimulation.run(scenario.withPolicy(Policy.ROUND_ROBIN_ADMISSION));
    assertThat(balanced.latencyMillis(0.99)).isLessThan(roundRobin.latencyMillis(0.99) / 2);
    assertThat(balanced.goodput()).isGreaterThan(roundRobin.goodput());
    assertThat(balanced.successRate(Tier.BASIC)).isGreaterThan(0.99);
  }

  @ParameterizedTest
  @CsvSource({"0, true", "2, true", "7, true", "0, false", "2, false"})
  void falseAndDelayedReportsDoNotOverloadABackend(
      int misreportingBackends, boolean loadInResponses) {
    Scenario scenario =
        new Scenario(
            Policy.UMBERPATH, 0.7, 2_000, loadInResponses, misreportingBackends, 0, SECONDS, 1);
    Outcome outcome = TrafficSimulation.run(scenario);
    assertThat(outcome.latencyMillis(0.99)).isLessThan(35);
    assertThat(outcome.successRate(Tier.BASIC)).isGreaterThan(0.995);
  }
}
