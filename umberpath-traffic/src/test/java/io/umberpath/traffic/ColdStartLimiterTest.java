package io.umberpath.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ColdStartLimiterTest {
  private static final long WARMUP_MILLIS = 3_000;

  /** The users' bound: {@code coldPerS x warmupOverage + warmupSlack} in any second. */
  @ParameterizedTest
  @CsvSource({"13, 1.5, 8", "9.1, 1.5, 8", "10, 1, 0", "2, 1, 1", "40, 2, 0"})
  void noSecondHoldsMoreThanTheBoundHoweverManyAsk(double perSecond, double overage, double slack) {
    ColdStartLimiter limiter = new ColdStartLimiter(new ColdStartLimiter.Bounds(overage, slack));
    limiter.cold(0, WARMUP_MILLIS, perSecond);
    Deque<Long> lastSecond = new ArrayDeque<>();
    int all = 0;

    for (long now = 0; now < WARMUP_MILLIS; now++) {
      // A pause, in which the bucket fills, then as many as are let in.
      while (now >= 1_200 && limiter.mayBegin(now)) {
        limiter.begins(now);
        lastSecond.add(now);
        all++;
      }
      while (!lastSecond.isEmpty() && lastSecond.peek() <= now - 1_000) {
        lastSecond.remove();
      }
      assertThat(lastSecond.size()).isLessThanOrEqualTo((int) (perSecond * overage + slack));
    }
    assertThat(all).isGreaterThanOrEqualTo((int) perSecond);
  }

  @ParameterizedTest
  @CsvSource({"13, 1.5, 8"})
  void nothingIsBoundedBeforeAndAfter(double perSecond, double overage, double slack) {
    ColdStartLimiter limiter = new ColdStartLimiter(new ColdStartLimiter.Bounds(overage, slack));
    for (int count = 0; count < 100; count++) {
      assertThat(limiter.mayBegin(0)).isTrue();
      limiter.begins(0);
    }

    limiter.cold(0, WARMUP_MILLIS, perSecond);
    limiter.begins(0);
    assertThat(limiter.mayBegin(0)).isFalse();
    assertThat(limiter.waitMillis(0, 0)).isBetween(70.0, 80.0);
    assertThat(limiter.usableSlots(0, 13, 200_000)).isEqualTo(2);

    assertThat(limiter.mayBegin(WARMUP_MILLIS)).isTrue();
    assertThat(limiter.waitMillis(WARMUP_MILLIS, 50)).isZero();
    assertThat(limiter.usableSlots(WARMUP_MILLIS, 13, 200_000)).isEqualTo(13);
  }
}
