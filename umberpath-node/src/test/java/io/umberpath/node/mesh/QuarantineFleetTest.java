package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.node.mesh.QuarantineSimulation.Disturbance;
import io.umberpath.node.mesh.QuarantineSimulation.Outcome;
import io.umberpath.node.mesh.QuarantineSimulation.QuarantinePolicy;
import io.umberpath.node.mesh.QuarantineSimulation.Scenario;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates the quarantine of a whole fleet in virtual time, at the fleet sizes used in practice.
 */
final class QuarantineFleetTest {
  private static final QuarantinePolicy PRODUCTION_POLICY =
      new QuarantinePolicy("three", MeshNode.CRASHES_TO_QUARANTINE, false);
  private static final QuarantinePolicy NO_QUARANTINE =
      new QuarantinePolicy("nothing", Integer.MAX_VALUE, false);

  /** Acceptable late arrivals of a poison request at backends once every node must hold it. */
  private static final int MAX_LATE_ARRIVALS = 3;

  private static Outcome simulate(Scenario scenario, QuarantinePolicy policy, long seed) {
    return new QuarantineSimulation(scenario, policy, seed).run();
  }

  @ParameterizedTest
  @CsvSource({"12,200,1", "12,200,5", "95,950,1", "95,950,5", "300,3000,5", "1000,5000,1"})
  void poisonRequestsAndOnlyTheseAreQuarantinedOnAllNodes(int nodes, int rate, int poisonRequests) {
    Outcome outcome =
        simulate(
            Scenario.undisturbed(nodes, rate, poisonRequests),
            PRODUCTION_POLICY,
            nodes + poisonRequests);

    assertThat(outcome.lateArrivals()).isZero();
    assertThat(outcome.wronglyHeld()).isZero();
    assertThat(outcome.slowestNodeMillis()).isBetween(0L, 500L);
    assertThat(outcome.crashes()).isLessThanOrEqualTo(8 * poisonRequests);
  }

  @ParameterizedTest
  @CsvSource({"12,200,1", "12,200,2", "95,950,3", "300,3000,4"})
  void fewPoisonRequestsPassDespiteLossPartitionAndRestarts(int nodes, int rate, long seed) {
    Scenario scenario =
        Scenario.undisturbed(nodes, rate, 1)
            .with(Disturbance.DATAGRAM_LOSS, Disturbance.ZONE_PARTITION, Disturbance.NODE_RESTARTS);

    Outcome outcome = simulate(scenario, PRODUCTION_POLICY, seed);

    assertThat(outcome.lateArrivals()).isLessThanOrEqualTo(MAX_LATE_ARRIVALS);
    assertThat(outcome.wronglyHeld()).isZero();
  }

  @ParameterizedTest
  @CsvSource({"12,200,1", "12,200,2", "95,950,3", "300,3000,4"})
  void killingAThirdOfTheBackendsHoldsNoOrdinaryRequest(int nodes, int rate, long seed) {
    Outcome outcome =
        simulate(
            Scenario.undisturbed(nodes, rate, 0).with(Disturbance.BACKEND_KILLS),
            PRODUCTION_POLICY,
            seed);

    assertThat(outcome.ordinaryRequests()).isGreaterThan(7_000);
    assertThat(outcome.wronglyHeld()).isZero();
  }

  /** Shows that the simulation reproduces the failure if nothing is quarantined. */
  @Test
  void withoutQuarantineAPoisonRequestCrashesBackendsWithoutBound() {
    Outcome outcome = simulate(Scenario.undisturbed(12, 200, 1), NO_QUARANTINE, 1);

    assertThat(outcome.crashes()).isGreaterThan(50);
    assertThat(outcome.lateArrivals()).isGreaterThan(30);
  }
}
