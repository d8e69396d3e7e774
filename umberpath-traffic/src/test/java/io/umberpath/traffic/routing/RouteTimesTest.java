package io.umberpath.traffic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class RouteTimesTest {
  private final RouteTimes times = new RouteTimes();

  @Test
  void knowsNothingFromAFewSamples() {
    times.add("read", 240_000);

    assertThat(times.expectedMicros("read")).isZero();
    assertThat(times.expectedMicros("never seen")).isZero();
  }

  @Test
  void keepsRoutesApart() {
    for (int index = 0; index < 10; index++) {
      times.add("read", 240_000);
      times.add("verify", 15_000);
    }

    assertThat(times.expectedMicros("read")).isEqualTo(240_000);
    assertThat(times.expectedMicros("verify")).isEqualTo(15_000);
  }

  @Test
  void followsABackendThatTurnsSlow() {
    for (int index = 0; index < 10; index++) {
      times.add("read", 100_000);
    }
    for (int index = 0; index < 20; index++) {
      times.add("read", 1_000_000);
    }

    assertThat(times.expectedMicros("read")).isGreaterThan(800_000);
  }
}
