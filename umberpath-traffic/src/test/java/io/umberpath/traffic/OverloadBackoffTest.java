package io.umberpath.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class OverloadBackoffTest {
  private final OverloadBackoff backoff = new OverloadBackoff(2_000);

  private void record(int count, boolean refused) {
    for (int index = 0; index < count; index++) {
      backoff.recordOutcome(refused);
    }
  }

  @Test
  void withoutRefusalsThereIsNoBackoff() {
    record(50, false);

    assertThat(backoff.backoffMillis(1)).isZero();
  }

  @Test
  void aFewRefusalsGiveAlmostNoBackoff() {
    record(200, false);
    record(5, true);

    assertThat(backoff.backoffMillis(1)).isLessThan(10);
  }

  @Test
  void aLastingOverloadGivesALongAndJitteredBackoff() {
    record(300, true);

    Set<Long> times = new HashSet<>();
    for (long id = 1; id <= 50; id++) {
      assertThat(backoff.backoffMillis(id)).isBetween(1_499L, 2_500L);
      times.add(backoff.backoffMillis(id));
    }
    assertThat(times).hasSizeGreaterThan(40);
  }

  @Test
  void theBackoffDecaysAfterAnOverload() {
    record(300, true);
    record(100, false);

    assertThat(backoff.backoffMillis(1)).isLessThan(10);
  }
}
