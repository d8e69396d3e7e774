package io.umberpath.traffic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class RouteMeansTest {
  private final RouteMeans times = new RouteMeans(5);

  @Test
  void tooFewSamplesGiveNoEstimate() {
    times.add("read", 240_000);

    assertThat(times.expected("read")).isZero();
    assertThat(times.expected("never seen")).isZero();
  }

  @Test
  void routesAreIndependent() {
    for (int index = 0; index < 10; index++) {
      times.add("read", 240_000);
      times.add("verify", 15_000);
    }

    assertThat(times.expected("read")).isEqualTo(240_000);
    assertThat(times.expected("verify")).isEqualTo(15_000);
  }

  @Test
  void followsAnIncrease() {
    for (int index = 0; index < 10; index++) {
      times.add("read", 100_000);
    }
    for (int index = 0; index < 20; index++) {
      times.add("read", 1_000_000);
    }

    assertThat(times.expected("read")).isGreaterThan(800_000);
  }
}
