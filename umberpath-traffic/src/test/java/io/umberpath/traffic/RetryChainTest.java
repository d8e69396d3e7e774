package io.umberpath.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.Verdict;
import io.umberpath.model.Verdict.Reason;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Counts the attempts that reach each level of a chain of calls when one level refuses a share of
 * them.
 */
class RetryChainTest {
  private static final int REQUESTS = 4_000;
  private static final Verdict REFUSED = new Verdict.NotRun(Reason.OVERLOADED);

  private final List<RetryPolicy> policies = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(29);
  private long[] arrivals;
  private int failingLevel;
  private double failureRatio;

  @ParameterizedTest
  @CsvSource({"28, 1.0", "28, 0.5", "14, 1.0", "14, 0.5", "1, 1.0", "28, 0.05", "14, 0.01"})
  void retriesInAChainOf29AddLessThanAFifth(int level, double ratio) {
    run(29, level, ratio, RetrySettings.DEFAULT);
    for (long reached : arrivals) {
      assertThat((double) reached / REQUESTS).isLessThan(1.2);
    }
  }

  @Test
  void retriesRecoverRareFailures() {
    assertThat(run(29, 28, 0.02, RetrySettings.DEFAULT)).isGreaterThan(REQUESTS * 999 / 1_000);
  }

  /** Baseline without budgets: each level makes three attempts. */
  @Test
  void threeAttemptsPerLevelMultiplyWithoutBudgets() {
    failingLevel = 5;
    failureRatio = 1;
    arrivals = new long[6];
    retryThreeTimes(0);
    assertThat(arrivals[5]).isEqualTo(3 * 3 * 3 * 3 * 3);
  }

  /** Prints the table of docs/measurements/traffic-decisions.md. */
  public static void main(String[] arguments) {
    for (int level : new int[] {28, 14, 1}) {
      for (double ratio : new double[] {0.01, 0.05, 0.5, 1.0}) {
        RetryChainTest chain = new RetryChainTest();
        long succeeded = chain.run(29, level, ratio, RetrySettings.DEFAULT);
        double maxArrivals = Arrays.stream(chain.arrivals).max().orElseThrow();
        System.out.printf(
            Locale.ROOT,
            "| %d | %.2f | %.3f | %.4f |%n",
            level,
            ratio,
            maxArrivals / REQUESTS,
            succeeded / (double) REQUESTS);
      }
    }
  }

  private long run(int depth, int level, double ratio, RetrySettings settings) {
    failingLevel = level;
    failureRatio = ratio;
    arrivals = new long[depth];
    for (int i = 0; i < depth; i++) {
      policies.add(RetryPolicies.create(settings));
    }
    long succeeded = 0;
    for (int request = 0; request < REQUESTS; request++) {
      succeeded += call(0, Optional.empty(), settings).isEmpty() ? 1 : 0;
    }
    return succeeded;
  }

  /** Returns empty on success, otherwise the header of the refusal. */
  private Optional<String> call(int level, Optional<String> header, RetrySettings settings) {
    arrivals[level]++;
    if (level == failingLevel && random.nextDouble() < failureRatio) {
      return Optional.of(new ChainRetryBudget(settings.chainRetries()).encode());
    }
    if (level + 1 == arrivals.length) {
      return Optional.empty();
    }
    ChainRetryBudget budget = ChainRetryBudget.ofRequest(header, settings);
    RetryPolicy policy = policies.get(level);
    policy.requestStarted(0, budget);
    for (int attempt = 1; ; attempt++) {
      Optional<String> refusal =
          call(level + 1, Optional.of(budget.forAttempt(attempt).encode()), settings);
      if (refusal.isEmpty()) {
        return Optional.empty();
      }
      ChainRetryBudget left = budget.afterRefusal(refusal);
      if (!policy.mayRetry(
          0, new RetryPolicy.FailedAttempt(REFUSED, false, attempt, true, 9_999), left)) {
        return Optional.of(ChainRetryBudget.NONE.encode());
      }
      budget = left.afterRetry();
    }
  }

  private boolean retryThreeTimes(int level) {
    arrivals[level]++;
    if (level == failingLevel) {
      return false;
    }
    return retryThreeTimes(level + 1) || retryThreeTimes(level + 1) || retryThreeTimes(level + 1);
  }
}
