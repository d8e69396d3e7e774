package io.umberpath.traffic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class RouteAveragesTest {
  private final RouteAverages times = new RouteAverages(5);

  @Test
  void tooFewSamplesGiveNoEstimate() {
    times.add("read", 240_000);

    assertThat(times.average("read")).isZero();
    assertThat(times.average("never seen")).isZero();
  }

  @Test
  void routesAreIndependent() {
    for (int index = 0; index < 10; index++) {
      times.add("read", 240_000);
      times.add("verify", 15_000);
    }

    assertThat(times.average("read")).isEqualTo(240_000);
    assertThat(times.average("verify")).isEqualTo(15_000);
  }

  @Test
  void followsAnIncrease() {
    for (int index = 0; index < 10; index++) {
      times.add("read", 100_000);
    }
    for (int index = 0; index < 20; index++) {
      times.add("read", 1_000_000);
    }

    assertThat(times.average("read")).isGreaterThan(800_000);
  }
}
