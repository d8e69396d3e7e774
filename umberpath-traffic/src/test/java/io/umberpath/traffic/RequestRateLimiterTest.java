package io.umberpath.traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class RequestRateLimiterTest {
  private static final long WINDOW_MILLIS = 4_000;
  private static final double WINDOW_SECONDS = 4;

  /** What a backend tolerates in any window: one and a half times its limit and five more. */
  private static double tolerated(double perSecond) {
    return 1.5 * perSecond * WINDOW_SECONDS + 5;
  }

  private static RequestRateLimiter limitedAt(double perSecond) {
    RequestRateLimiter limiter = new RequestRateLimiter();
    limiter.setRate(0, perSecond);
    return limiter;
  }

  private static int maxInWindow(List<Long> starts) {
    int max = 0;
    int first = 0;
    for (int last = 0; last < starts.size(); last++) {
      while (starts.get(last) - starts.get(first) >= WINDOW_MILLIS) {
        first++;
      }
      max = Math.max(max, last - first + 1);
    }
    return max;
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 0.05, 0.3, 1, 2.4, 4.8, 50, 400})
  void noWindowExceedsTheLimitWhateverTheDemand(double perSecond) {
    for (long seed = 1; seed <= 20; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      RequestRateLimiter limiter = limitedAt(perSecond);
      List<Long> starts = new ArrayList<>();
      for (long now = 0; now < 60_000; now += random.nextInt(random.nextBoolean() ? 3 : 1_500)) {
        while (limiter.canStart(now)) {
          limiter.recordStart(now);
          starts.add(now);
        }
      }
      assertThat(maxInWindow(starts)).isLessThanOrEqualTo((int) tolerated(perSecond));
    }
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.3, 2.4, 4.8, 50})
  void constantDemandUsesTheWholeLimit(double perSecond) {
    RequestRateLimiter limiter = limitedAt(perSecond);
    int starts = 0;
    for (long now = 0; now < 100_000; now += 10) {
      if (limiter.canStart(now)) {
        limiter.recordStart(now);
        starts++;
      }
    }
    assertThat(starts).isCloseTo((int) (perSecond * 100), within(1 + (int) perSecond));
  }

  @Test
  void aLimitBeginsWithoutABurst() {
    RequestRateLimiter limiter = new RequestRateLimiter();
    assertThat(limiter.canStart(10_000)).isTrue();
    assertThat(limiter.waitMillis(10_000, 100)).isZero();

    limiter.setRate(10_000, 4);

    assertThat(limiter.canStart(10_000)).isFalse();
    assertThat(limiter.waitMillis(10_000, 0)).isCloseTo(250, within(0.01));
    assertThat(limiter.waitMillis(10_000, 2)).isCloseTo(750, within(0.01));
    assertThat(limiter.canStart(10_250)).isTrue();
  }

  /** Without any request, no response could tell that the limit has ended. */
  @Test
  void aLimitOfZeroAllowsARequestNowAndThen() {
    RequestRateLimiter limiter = limitedAt(0);

    assertThat(limiter.canStart(4_000)).isFalse();
    assertThat(limiter.canStart(5_000)).isTrue();
  }

  @Test
  void unusedStartsOfALongPauseAreNotAdded() {
    RequestRateLimiter limiter = limitedAt(4);

    assertThat(limiter.waitMillis(3_600_000, 3)).isZero();
    assertThat(limiter.waitMillis(3_600_000, 4)).isCloseTo(250, within(0.01));
  }

  @Test
  void aChangedRateCountsFromNowOn() {
    RequestRateLimiter limiter = limitedAt(10);
    limiter.setRate(100, 1);
    limiter.recordStart(100);
    assertThat(limiter.waitMillis(100, 0)).isCloseTo(1_000, within(0.01));

    limiter.setRate(100, 100);
    assertThat(limiter.waitMillis(100, 0)).isCloseTo(10, within(0.01));

    limiter.setRate(100, RequestRateLimiter.UNLIMITED);
    assertThat(limiter.canStart(100)).isTrue();
    assertThat(limiter.intervalMillis()).isZero();
  }

  @Test
  void usableSlotsFollowTheRateOnceNoBurstIsLeft() {
    RequestRateLimiter limiter = limitedAt(4);

    assertThat(limiter.usableSlots(0, 6, 600_000)).isEqualTo(3);
    assertThat(limiter.usableSlots(0, 6, 10_000)).isEqualTo(1);
    assertThat(limiter.usableSlots(0, 2, 600_000)).isEqualTo(2);
    assertThat(new RequestRateLimiter().usableSlots(0, 6, 10_000)).isEqualTo(6);
  }

  @Test
  void countsWhatTheLimitTurnsAway() {
    RequestRateLimiter limiter = limitedAt(4);
    limiter.recordRefusal(0);
    limiter.recordRefusal(250);

    assertThat(limiter.refusedCount()).isEqualTo(1);
  }
}
