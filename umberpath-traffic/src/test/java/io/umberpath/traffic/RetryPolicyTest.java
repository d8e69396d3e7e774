package io.umberpath.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.Verdict;
import io.umberpath.model.Verdict.Reason;
import io.umberpath.traffic.RetryPolicy.FailedAttempt;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryPolicyTest {
  private static final FailedAttempt REFUSED =
      new FailedAttempt(new Verdict.NotRun(Reason.UNREACHABLE), false, 1, true, 1_000);

  private final RetryPolicy policy = RetryPolicies.create(RetrySettings.DEFAULT);

  @ParameterizedTest
  @CsvSource({
    // verdict, reason, repeatable, attempts, body kept, time left, chain, retried
    "NotRun, OVERLOADED, false, 1, true, 100, 2, true",
    "NotRun, DRAINING, false, 2, true, 100, 1, true",
    "NotRun, UNREACHABLE, false, 3, true, 100, 2, false",
    "NotRun, UNREACHABLE, false, 1, false, 100, 2, false",
    "NotRun, UNREACHABLE, false, 1, true, 2, 2, false",
    "NotRun, UNREACHABLE, false, 1, true, 3, 2, true",
    "NotRun, UNREACHABLE, false, 1, true, 100, 0, false",
    "NotRun, DUPLICATE, false, 1, true, 100, 2, false",
    "NotRun, CANCELLED, true, 1, true, 100, 2, false",
    "MayHaveRun, CONNECTION_LOST, false, 1, true, 100, 2, false",
    "MayHaveRun, CONNECTION_LOST, true, 1, true, 100, 2, true",
    "MayHaveRun, BAD_ANSWER, false, 1, true, 100, 2, false",
    "MayHaveRun, DUPLICATE, true, 1, true, 100, 2, false",
    "Completed, , true, 1, true, 100, 2, false"
  })
  void retriesOnlyWhatIsSafeAndUseful(
      String kind,
      Reason reason,
      boolean repeatable,
      int attempts,
      boolean bodyKept,
      long timeLeft,
      int chain,
      boolean expected) {
    Verdict verdict =
        switch (kind) {
          case "NotRun" -> new Verdict.NotRun(reason);
          case "MayHaveRun" -> new Verdict.MayHaveRun(reason);
          default -> new Verdict.Completed();
        };
    FailedAttempt failed = new FailedAttempt(verdict, repeatable, attempts, bodyKept, timeLeft);
    assertThat(policy.mayRetry(0, failed, new ChainRetryBudget(chain))).isEqualTo(expected);
  }

  @Test
  void retriesAreLimitedToATenthOfTheRequestsPlusTheBurst() {
    int retries = 0;
    for (int request = 0; request < 1_000; request++) {
      policy.requestStarted(request);
      retries +=
          policy.mayRetry(request, new FailedAttempt(REFUSED.verdict(), false, 1, true, 9_999))
              ? 1
              : 0;
    }
    assertThat(retries).isBetween(100, 110);
  }

  @Test
  void retriesEarnNoBudget() {
    while (policy.mayRetry(0, REFUSED)) {
      assertThat(policy).isNotNull();
    }
    for (int request = 0; request < 100; request++) {
      policy.requestStarted(0, ChainRetryBudget.NONE);
    }
    assertThat(policy.mayRetry(0, REFUSED)).isFalse();
  }

  @ParameterizedTest
  @CsvSource(
      value = {"-, 2", "0, 0", "1, 1", "' 1 ', 1", "9, 2", "10, 0", "-1, 0", "x, 0", "'', 0"},
      nullValues = "-")
  void headerIsReadStrictlyAndNeverRaisesTheLimit(String header, int expected) {
    ChainRetryBudget budget =
        ChainRetryBudget.ofRequest(Optional.ofNullable(header), RetrySettings.DEFAULT);
    assertThat(budget.retriesLeft()).isEqualTo(expected);
    assertThat(ChainRetryBudget.ofRequest(Optional.of(budget.encode()), RetrySettings.DEFAULT))
        .isEqualTo(budget);
  }
}
