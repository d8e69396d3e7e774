package io.umberpath.lab.simulate;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.lab.simulate.SimulationSettings.Subject;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class BaselineSimulationTest {
  @ParameterizedTest
  @EnumSource(
      value = Subject.Kind.class,
      names = {"PUSH_ALL", "POLLING"})
  void deliversEverythingAndRepeatsItselfBySeed(Subject.Kind kind) {
    SimulationReport first = new Simulation(settings(kind, 3)).run();
    SimulationReport again = new Simulation(settings(kind, 3)).run();
    SimulationReport other = new Simulation(settings(kind, 4)).run();

    assertThat(first.violations()).isEmpty();
    assertThat(first.inForce().count()).isPositive();
    assertThat(first.bytesPerSecond().mean()).isPositive();
    assertThat(again.digest()).isEqualTo(first.digest());
    assertThat(other.digest()).isNotEqualTo(first.digest());
  }

  private static SimulationSettings settings(Subject.Kind kind, long seed) {
    SimulationSettings plain = SimulationSettings.of(FleetProfile.KLANG_VALLEY, seed);
    return new SimulationSettings(
        plain.profile(),
        plain.nodes(),
        plain.zones(),
        plain.regions(),
        86_400,
        5,
        0.2,
        List.of(),
        seed,
        10 * Durations.SECOND,
        plain.control(),
        new Subject(kind, Optional.empty(), true));
  }
}
