package io.umberpath.traffic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class RouteAveragesTest {
  private final RouteAverages averages = new RouteAverages(5);

  @Test
  void tooFewSamplesGiveNoEstimate() {
    averages.add("read", 240_000);

    assertThat(averages.average("read")).isZero();
    assertThat(averages.average("never seen")).isZero();
  }

  @Test
  void routesAreIndependent() {
    for (int index = 0; index < 10; index++) {
      averages.add("read", 240_000);
      averages.add("verify", 15_000);
    }

    assertThat(averages.average("read")).isEqualTo(240_000);
    assertThat(averages.average("verify")).isEqualTo(15_000);
  }

  @Test
  void followsAnIncrease() {
    for (int index = 0; index < 10; index++) {
      averages.add("read", 100_000);
    }
    for (int index = 0; index < 20; index++) {
      averages.add("read", 1_000_000);
    }

    assertThat(averages.average("read")).isGreaterThan(800_000);
  }

  @Test
  void samplesFromBeforeAPauseCountLess() {
    for (int index = 0; index < 10; index++) {
      averages.add(index * 50, "read", 720_000);
    }
    averages.add(5_500, "read", 60_000);

    assertThat(averages.average("read")).isBetween(60_000L, 90_000L);
    assertThat(averages.upperEstimate("read")).isLessThan(120_000L);
  }

  @Test
  void samplesInShortSuccessionCountAlike() {
    for (int index = 0; index < 20; index++) {
      averages.add(index * 50, "read", index % 2 == 0 ? 80_000 : 120_000);
    }

    assertThat(averages.average("read")).isBetween(95_000L, 105_000L);
  }

  @Test
  void averageWithoutARecentSampleIsNotUsedUntilTheNextOne() {
    for (int index = 0; index < 10; index++) {
      averages.add(index * 50, "read", 720_000);
    }
    averages.expire(4_000);
    assertThat(averages.average("read")).isEqualTo(720_000);

    averages.expire(4_500);
    assertThat(averages.average("read")).isZero();
    assertThat(averages.upperEstimate("read")).isZero();

    averages.add(5_500, "read", 60_000);
    assertThat(averages.average("read")).isLessThan(90_000);
  }
}
