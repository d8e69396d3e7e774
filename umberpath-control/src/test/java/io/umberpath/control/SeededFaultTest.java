package io.umberpath.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.EnumSource.Mode;

/**
 * The fault that skips the incarnation rule has its own scenario in {@link DisasterRecoveryTest}.
 */
class SeededFaultTest {
  private static final int SEEDS = 60;

  @ParameterizedTest
  @EnumSource(value = SeededFault.class, mode = Mode.EXCLUDE, names = "SKIP_INCARNATION_RULE")
  void checksDetectEverySeededFault(SeededFault fault) {
    int detected = 0;
    for (int seed = 1; seed <= SEEDS && detected == 0; seed++) {
      boolean isDetected =
          new ChaosRun(seed, Optional.of(fault))
              .run().stream().anyMatch(each -> !each.contains("converge"));
      detected += isDetected ? 1 : 0;
    }
    assertThat(detected).as("caught " + fault).isPositive();
  }
}
