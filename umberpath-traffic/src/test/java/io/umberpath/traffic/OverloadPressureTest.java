package io.umberpath.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class OverloadPressureTest {
  private final OverloadPressure pressure = new OverloadPressure(2_000);

  private void note(int count, boolean refused) {
    for (int index = 0; index < count; index++) {
      pressure.note(refused);
    }
  }

  @Test
  void withoutRefusalsNobodyStaysAway() {
    note(50, false);

    assertThat(pressure.awayMillis(1)).isZero();
  }

  @Test
  void aFewRefusalsHardlyCount() {
    note(200, false);
    note(5, true);

    assertThat(pressure.awayMillis(1)).isLessThan(10);
  }

  @Test
  void anOverloadThatLastsKeepsThemAwayForLongAndNotTogether() {
    note(300, true);

    Set<Long> times = new HashSet<>();
    for (long id = 1; id <= 50; id++) {
      assertThat(pressure.awayMillis(id)).isBetween(1_499L, 2_500L);
      times.add(pressure.awayMillis(id));
    }
    assertThat(times).hasSizeGreaterThan(40);
  }

  @Test
  void anOverloadThatHasPassedIsForgotten() {
    note(300, true);
    note(100, false);

    assertThat(pressure.awayMillis(1)).isLessThan(10);
  }
}
