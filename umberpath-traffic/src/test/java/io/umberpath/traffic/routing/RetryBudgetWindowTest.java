package io.umberpath.traffic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class RetryBudgetWindowTest {
  private static final long WINDOW_MILLIS = 10_000;
  private final RetryBudgetWindow window = new RetryBudgetWindow(WINDOW_MILLIS, 0.2, 12);

  private int countGranted(long now, int requested, int nodes) {
    int granted = 0;
    for (int index = 0; index < requested; index++) {
      granted += window.tryRetry(now, "service", nodes) ? 1 : 0;
    }
    return granted;
  }

  @Test
  void withoutRequestsANodeHasItsShareOfTheExtraRetries() {
    assertThat(countGranted(0, 50, 12)).isEqualTo(1);
  }

  @Test
  void requestsAddToTheBudget() {
    for (int index = 0; index < 100; index++) {
      window.recordRequest(1_000, "service");
    }

    assertThat(countGranted(1_500, 100, 12)).isEqualTo(21);
  }

  @Test
  void theWindowSlides() {
    for (int index = 0; index < 100; index++) {
      window.recordRequest(1_000, "service");
    }
    countGranted(1_500, 100, 12);

    assertThat(countGranted(1_500 + WINDOW_MILLIS / 2, 10, 12)).isZero();
    assertThat(countGranted(1_500 + 2 * WINDOW_MILLIS, 10, 12)).isEqualTo(1);
  }

  @Test
  void theFleetStaysWithinTheBudget() {
    int nodes = 40;
    int total = 0;
    for (int node = 0; node < nodes; node++) {
      RetryBudgetWindow each = new RetryBudgetWindow(WINDOW_MILLIS, 0.2, 64);
      for (int index = 0; index < 10; index++) {
        each.recordRequest(0, "service");
      }
      for (int index = 0; index < 20; index++) {
        total += each.tryRetry(0, "service", nodes) ? 1 : 0;
      }
    }

    assertThat(total).isLessThanOrEqualTo((int) (0.2 * 10 * nodes + 64));
  }

  /** A retried request repeats its nested calls, which count at the called service. */
  @Test
  void nestedCallsOfRetriedRequestsConsumeTheBudget() {
    for (int index = 0; index < 100; index++) {
      window.recordRequest(1_000, "service");
    }
    for (int index = 0; index < 20; index++) {
      window.recordRetries(1_000, "service", 0.5);
    }

    assertThat(countGranted(1_500, 100, 12)).isEqualTo(11);
  }

  /**
   * Guards against spending up to twice the extra retries within one window: with windows of ten
   * buckets, the oldest was dropped as a whole as soon as the newest began, so that retries spent
   * at the end of a bucket could be spent again at the start of the bucket that replaced it. Nodes
   * do not coordinate.
   */
  @ParameterizedTest
  @ValueSource(ints = {20, 100})
  void everySlidingWindowOfTheFleetStaysWithinTheBudget(int nodes) {
    Random random = new Random(nodes);
    List<RetryBudgetWindow> fleet = new ArrayList<>();
    for (int node = 0; node < nodes; node++) {
      fleet.add(new RetryBudgetWindow(WINDOW_MILLIS, 0.2, 178));
    }
    int steps = 600;
    int stepMillis = 50;
    int[] requests = new int[steps];
    int[] retries = new int[steps];
    for (int step = 0; step < steps; step++) {
      // Bursts slightly less than a window apart, as when backends refuse requests repeatedly.
      boolean isBurst = step % 181 == 19;
      for (RetryBudgetWindow each : fleet) {
        if (random.nextInt(4) == 0) {
          each.recordRequest(step * stepMillis, "service");
          requests[step]++;
        }
        for (int attempt = 0; isBurst && attempt < 20; attempt++) {
          retries[step] += each.tryRetry(step * stepMillis, "service", nodes) ? 1 : 0;
        }
      }
    }

    int length = (int) WINDOW_MILLIS / stepMillis;
    for (int end = length; end <= steps; end++) {
      double maxRequests = 0;
      for (int shift : new int[] {0, length / 2, length}) {
        maxRequests = Math.max(maxRequests, sum(requests, end - shift - length, end - shift));
      }
      assertThat(sum(retries, end - length, end)).isLessThanOrEqualTo(0.2 * maxRequests + 178);
    }
  }

  private static double sum(int[] counts, int from, int to) {
    double sum = 0;
    for (int index = Math.max(0, from); index < to; index++) {
      sum += counts[index];
    }
    return sum;
  }
}
