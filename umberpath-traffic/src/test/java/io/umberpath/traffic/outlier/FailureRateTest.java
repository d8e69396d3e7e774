package io.umberpath.traffic.outlier;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.traffic.outlier.FailureRateOutlier.FailureRates;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class FailureRateTest {
  private final FailureRate failures = new FailureRate();

  private void ended(long now, int times, AttemptResult result) {
    for (int index = 0; index < times; index++) {
      failures.recordResult(now, result);
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = AttemptResult.class,
      names = {"SERVER_ERROR", "SHED", "BAD_ANSWER", "LOST", "TIMED_OUT"})
  void countsEachKindOfFailure(AttemptResult kind) {
    ended(0, 10, AttemptResult.SERVED);
    ended(0, 10, kind);
    ended(0, 50, AttemptResult.NO_EVIDENCE);

    assertThat(failures.percent(0)).isEqualTo(50);
    assertThat(failures.describeCounts(0))
        .contains("served 10", kind.name().toLowerCase(Locale.ROOT).replace('_', '-') + " 10");
  }

  @Test
  void tooFewAttemptsGiveNoRate() {
    ended(0, 7, AttemptResult.LOST);

    assertThat(failures.percent(0)).isZero();
  }

  /** A backend that receives no requests shows no failures and is tried again. */
  @Test
  void decaysToZeroWithoutAttempts() {
    ended(0, 40, AttemptResult.SERVER_ERROR);

    assertThat(failures.percent(1_000)).isEqualTo(100);
    assertThat(failures.percent(10_000)).isZero();
  }

  @Test
  void recoveryShowsWithinSeconds() {
    ended(0, 40, AttemptResult.SHED);
    ended(4_000, 40, AttemptResult.SERVED);

    assertThat(failures.percent(4_000)).isEqualTo(20);
  }

  @Test
  void lossIsProportionalToTheExcessFailureRate() {
    assertThat(FailureRateOutlier.excessLoss(new FailureRates(1, 0))).isEqualTo(1);
    assertThat(FailureRateOutlier.excessLoss(new FailureRates(0.6, 0))).isBetween(0.49, 0.51);
    assertThat(FailureRateOutlier.excessLoss(new FailureRates(0.15, 0))).isZero();
  }

  /** Equal failure rates must not remove most of the backends. */
  @Test
  void equalFailureRatesAreNoOutlier() {
    assertThat(FailureRateOutlier.excessLoss(new FailureRates(0.55, 0.55))).isZero();
    assertThat(FailureRateOutlier.excessLoss(new FailureRates(1, 1))).isZero();
  }
}
