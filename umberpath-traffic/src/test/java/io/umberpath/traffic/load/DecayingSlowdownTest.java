package io.umberpath.traffic.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

final class DecayingSlowdownTest {
  private static final Offset<Double> TOLERANCE = Offset.offset(0.01);

  private final DecayingSlowdown slowdown = new DecayingSlowdown();

  @Test
  void aShortSlowdownDecays() {
    slowdown.update(1_000, 1);
    slowdown.update(5_000, 3);

    assertThat(slowdown.factorAt(5_000)).isEqualTo(3, TOLERANCE);
    assertThat(slowdown.factorAt(5_300)).isEqualTo(2, TOLERANCE);
    assertThat(slowdown.factorAt(5_600)).isEqualTo(1.5, TOLERANCE);
    assertThat(slowdown.factorAt(8_000)).isEqualTo(1, TOLERANCE);
  }

  @Test
  void aShortSpeedUpDecaysToo() {
    slowdown.update(5_000, 0.5);

    assertThat(slowdown.factorAt(5_300)).isEqualTo(0.75, TOLERANCE);
  }

  @Test
  void aLongerSlowdownDecaysMoreSlowly() {
    slowdown.update(1_000, 3);
    slowdown.update(2_000, 3.2);
    slowdown.update(3_000, 3);

    assertThat(slowdown.factorAt(5_000)).isEqualTo(2, TOLERANCE);
  }

  @Test
  void theHalfLifeIsBounded() {
    slowdown.update(1_000, 3);
    slowdown.update(600_000, 3);

    assertThat(slowdown.factorAt(603_000)).isEqualTo(2, TOLERANCE);
    assertThat(slowdown.factorAt(700_000)).isEqualTo(1, TOLERANCE);
  }

  @Test
  void aClockSetBackDoesNotAmplifyTheFactor() {
    slowdown.update(5_000, 3);

    assertThat(slowdown.factorAt(1_000)).isEqualTo(3, TOLERANCE);
  }
}
