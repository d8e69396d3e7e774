package io.umberpath.lab.simulate;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.SeededFault;
import io.umberpath.lab.simulate.SimulationSettings.Subject;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The checker catches each known-wrong variant of the state machine. */
class SeededFaultTest {
  private static final int SEEDS = 8;
  private static final List<String> FAULTS =
      List.of("restarts-in-an-election", "leader-cut-off", "kill-40-percent", "messages-late");

  @ParameterizedTest
  @EnumSource(SeededFault.class)
  void isCaught(SeededFault fault) {
    Subject subject = new Subject(Subject.Kind.PRODUCT, Optional.of(fault.name()), true);
    List<InvariantViolation> found = new ArrayList<>();
    for (long seed = 1; seed <= SEEDS && found.isEmpty(); seed++) {
      for (String name : FAULTS) {
        found.addAll(
            new Simulation(TestSettings.small(subject, FaultTable.named(name), seed))
                .run()
                .violations());
      }
    }

    assertThat(found).isNotEmpty();
  }
}
