package io.umberpath.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class ChaosTest {
  private static final int SEEDS = Integer.getInteger("umberpath.control.seeds", 40);
  private static final int FIRST = Integer.getInteger("umberpath.control.first.seed", 1);

  @Test
  void everySeedKeepsTheInvariantsAndConverges() {
    for (int seed = FIRST; seed < FIRST + SEEDS; seed++) {
      assertThat(new ChaosRun(seed, Optional.empty()).run()).as("seed " + seed).isEmpty();
    }
  }
}
