package io.umberpath.lab.simulate;

import io.umberpath.lab.simulate.SimulationSettings.Subject;
import java.util.List;

/** Settings of the small fleets of tests. */
final class TestSettings {
  private static final double CHANGES_PER_DAY = 86_400;

  private TestSettings() {}

  static SimulationSettings small(Subject subject, List<FaultEvent> faults, long seed) {
    SimulationSettings plain = SimulationSettings.of(FleetProfile.KLANG_VALLEY, seed);
    return new SimulationSettings(
        plain.profile(),
        plain.nodes(),
        plain.zones(),
        plain.regions(),
        CHANGES_PER_DAY,
        5,
        0.2,
        faults,
        seed,
        30 * Durations.SECOND,
        plain.control(),
        subject);
  }
}
