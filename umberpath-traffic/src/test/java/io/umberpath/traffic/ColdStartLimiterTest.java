package io.umberpath.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ColdStartLimiterTest {
  private static final long WARMUP_MILLIS = 3_000;
  private static final long LONG_AGO = -10_000;

  /** The specified limit: {@code coldPerS x warmupOverage + warmupSlack} in any second. */
  @ParameterizedTest
  @CsvSource({"13, 1.5, 8", "9.1, 1.5, 8", "10, 1, 0", "2, 1, 1", "40, 2, 0"})
  void noSecondExceedsTheLimitUnderAnyDemand(double perSecond, double overage, double slack) {
    ColdStartLimiter limiter =
        new ColdStartLimiter(new ColdStartLimiter.Bounds(overage, slack), LONG_AGO);
    limiter.markCold(0, WARMUP_MILLIS, perSecond);
    Deque<Long> lastSecond = new ArrayDeque<>();
    int total = 0;

    for (long now = 0; now < WARMUP_MILLIS; now++) {
      // A pause, in which the limit recovers, then as many starts as are allowed.
      while (now >= 1_200 && limiter.canStart(now)) {
        limiter.recordStart(now);
        lastSecond.add(now);
        total++;
      }
      while (!lastSecond.isEmpty() && lastSecond.peek() <= now - 1_000) {
        lastSecond.remove();
      }
      assertThat(lastSecond.size()).isLessThanOrEqualTo((int) (perSecond * overage + slack));
    }
    // In 1.8 s, with 0.1 s per second reserved for the transit time.
    assertThat(total).isGreaterThanOrEqualTo((int) (1.5 * (int) (perSecond * overage + slack)));
  }

  @ParameterizedTest
  @CsvSource({"13, 1.5, 8"})
  void thereIsNoLimitBeforeAndAfterTheWarmUp(double perSecond, double overage, double slack) {
    ColdStartLimiter limiter =
        new ColdStartLimiter(new ColdStartLimiter.Bounds(overage, slack), LONG_AGO);
    for (int count = 0; count < 100; count++) {
      assertThat(limiter.canStart(0)).isTrue();
      limiter.recordStart(0);
    }

    limiter.markCold(0, WARMUP_MILLIS, perSecond);
    assertThat(limiter.canStart(0)).isFalse();
    assertThat(limiter.waitMillis(0, 0)).isEqualTo(1_100);
    assertThat(limiter.usableSlots(0, 13, 200_000)).isEqualTo(5);

    assertThat(limiter.canStart(1_100)).isTrue();
    assertThat(limiter.canStart(WARMUP_MILLIS)).isTrue();
    assertThat(limiter.waitMillis(WARMUP_MILLIS, 50)).isZero();
    assertThat(limiter.usableSlots(WARMUP_MILLIS, 13, 200_000)).isEqualTo(13);
  }

  /**
   * Varying transit times compress arrivals: requests started at the end of one second and at the
   * start of the next but one may arrive within one second, if the first are delayed and the last
   * are not.
   */
  @ParameterizedTest
  @CsvSource({"10.5, 1.5, 8, 20", "10.5, 1.5, 8, 100", "10, 1, 0, 100"})
  void arrivalsWithVaryingTransitTimesStayWithinTheLimit(
      double perSecond, double overage, double slack, int maxDelay) {
    SplittableRandom random = new SplittableRandom(5);
    int limit = (int) (perSecond * overage + slack);
    for (int round = 0; round < 50; round++) {
      ColdStartLimiter limiter =
          new ColdStartLimiter(new ColdStartLimiter.Bounds(overage, slack), LONG_AGO);
      limiter.markCold(0, WARMUP_MILLIS, perSecond);
      List<Long> arrivals = new ArrayList<>();
      double load = random.nextDouble();
      for (long now = 0; now < WARMUP_MILLIS; now++) {
        while (random.nextDouble() < load && limiter.canStart(now)) {
          limiter.recordStart(now);
          arrivals.add(now + random.nextInt(maxDelay));
        }
      }
      Collections.sort(arrivals);
      for (int last = limit; last < arrivals.size(); last++) {
        assertThat(arrivals.get(last) - arrivals.get(last - limit)).isGreaterThanOrEqualTo(1_000);
      }
    }
  }

  /** A burst that used the whole limit would leave nothing for requests in the following second. */
  @Test
  void theLimitIsUsedFullyAndEvenly() {
    ColdStartLimiter limiter = new ColdStartLimiter(new ColdStartLimiter.Bounds(1.5, 8), LONG_AGO);
    limiter.markCold(0, WARMUP_MILLIS, 10.5);

    assertThat(limiter.usableSlots(0, 4, 130_000)).isEqualTo(4);
    assertThat(startAllAllowed(limiter, 0)).isEqualTo(6);
    assertThat(limiter.waitMillis(0, 0)).isEqualTo(275);
    assertThat(limiter.usableSlots(0, 4, 130_000)).isEqualTo(3);
    assertThat(startAllAllowed(limiter, 275)).isEqualTo(6);
    assertThat(startAllAllowed(limiter, 550)).isEqualTo(6);
    assertThat(startAllAllowed(limiter, 825)).isEqualTo(5);
    assertThat(startAllAllowed(limiter, 1_100)).isEqualTo(6);
  }

  /**
   * An earlier process may have started as many requests as the limit allows just before this one
   * started.
   */
  @Test
  void aNewProcessAllowsForStartsOfAnEarlierProcess() {
    ColdStartLimiter limiter = new ColdStartLimiter(new ColdStartLimiter.Bounds(1.5, 8), 0);
    limiter.markCold(0, WARMUP_MILLIS, 10.5);

    assertThat(startAllAllowed(limiter, 0)).isZero();
    assertThat(startAllAllowed(limiter, 275)).isEqualTo(5);
    assertThat(startAllAllowed(limiter, 550)).isEqualTo(6);
    assertThat(startAllAllowed(limiter, 825)).isEqualTo(6);
    assertThat(startAllAllowed(limiter, 1_100)).isEqualTo(6);
  }

  private static int startAllAllowed(ColdStartLimiter limiter, long now) {
    int count = 0;
    while (limiter.canStart(now)) {
      limiter.recordStart(now);
      count++;
    }
    return count;
  }
}
