package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.node.mesh.QuarantineSimulation.Outcome;
import io.umberpath.node.mesh.QuarantineSimulation.Scenario;
import io.umberpath.node.mesh.QuarantineSimulation.Trouble;
import io.umberpath.node.mesh.QuarantineSimulation.Way;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What the quarantine does for a whole fleet, in virtual time, at the sizes that are run. */
final class QuarantineFleetTest {
  private static final Way STANDING = new Way("three", MeshNode.MARKS_TO_HOLD, false);
  private static final Way NOTHING_HELD = new Way("nothing", Integer.MAX_VALUE, false);

  /** Arrivals of a culprit that users accept once every node has to know. */
  private static final int ACCEPTED_ARRIVALS = 3;

  private static Outcome play(Scenario scenario, Way way, long seed) {
    return new QuarantineSimulation(scenario, way, seed).run();
  }

  @ParameterizedTest
  @CsvSource({"12,200,1", "12,200,5", "95,950,1", "95,950,5", "300,3000,5", "1000,5000,1"})
  void culpritsAreHeldEverywhereAndNobodyElseIs(int nodes, int rate, int culprits) {
    Outcome outcome = play(Scenario.calm(nodes, rate, culprits), STANDING, nodes + culprits);

    assertThat(outcome.lateArrivals()).isZero();
    assertThat(outcome.turnedAway()).isZero();
    assertThat(outcome.lastNodeMillis()).isBetween(0L, 500L);
    assertThat(outcome.ends()).isLessThanOrEqualTo(8 * culprits);
  }

  @ParameterizedTest
  @CsvSource({"12,200,1", "12,200,2", "95,950,3", "300,3000,4"})
  void lossACutZoneAndNodesThatStartAgainLetFewThrough(int nodes, int rate, long seed) {
    Scenario scenario =
        Scenario.calm(nodes, rate, 1).with(Trouble.LOSS, Trouble.CUT_ZONE, Trouble.RESTARTS);

    Outcome outcome = play(scenario, STANDING, seed);

    assertThat(outcome.lateArrivals()).isLessThanOrEqualTo(ACCEPTED_ARRIVALS);
    assertThat(outcome.turnedAway()).isZero();
  }

  @ParameterizedTest
  @CsvSource({"12,200,1", "12,200,2", "95,950,3", "300,3000,4"})
  void endsOfAThirdOfTheBackendsTurnNobodyAway(int nodes, int rate, long seed) {
    Outcome outcome = play(Scenario.calm(nodes, rate, 0).with(Trouble.KILLS), STANDING, seed);

    assertThat(outcome.innocents()).isGreaterThan(7_000);
    assertThat(outcome.turnedAway()).isZero();
  }

  /** The simulation shows the fault where nothing is held. */
  @Test
  void withoutItEachCulpritEndsBackendsWithoutBound() {
    Outcome outcome = play(Scenario.calm(12, 200, 1), NOTHING_HELD, 1);

    assertThat(outcome.ends()).isGreaterThan(50);
    assertThat(outcome.lateArrivals()).isGreaterThan(30);
  }
}
