package io.umberpath.traffic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class RetryWindowTest {
  private static final long WINDOW_MILLIS = 10_000;
  private final RetryWindow window = new RetryWindow(WINDOW_MILLIS, 0.2, 12);

  private int granted(long now, int asked, int nodes) {
    int granted = 0;
    for (int index = 0; index < asked; index++) {
      granted += window.tryRetry(now, "service", nodes) ? 1 : 0;
    }
    return granted;
  }

  @Test
  void withoutRequestsThereIsThisNodesPartOfTheExtra() {
    assertThat(granted(0, 50, 12)).isEqualTo(1);
  }

  @Test
  void requestsEarnRetries() {
    for (int index = 0; index < 100; index++) {
      window.requestStarted(1_000, "service");
    }

    assertThat(granted(1_500, 100, 12)).isEqualTo(21);
  }

  @Test
  void theWindowSlides() {
    for (int index = 0; index < 100; index++) {
      window.requestStarted(1_000, "service");
    }
    granted(1_500, 100, 12);

    assertThat(granted(1_500 + WINDOW_MILLIS / 2, 10, 12)).isZero();
    assertThat(granted(1_500 + 2 * WINDOW_MILLIS, 10, 12)).isEqualTo(1);
  }

  @Test
  void allNodesTogetherStayWithinTheBound() {
    int nodes = 40;
    int total = 0;
    for (int node = 0; node < nodes; node++) {
      RetryWindow each = new RetryWindow(WINDOW_MILLIS, 0.2, 64);
      for (int index = 0; index < 10; index++) {
        each.requestStarted(0, "service");
      }
      for (int index = 0; index < 20; index++) {
        total += each.tryRetry(0, "service", nodes) ? 1 : 0;
      }
    }

    assertThat(total).isLessThanOrEqualTo((int) (0.2 * 10 * nodes + 64));
  }

  /** A request that runs again makes its calls again, which the called service counts. */
  @Test
  void callsOfRepeatedRequestsUseUpTheWindow() {
    for (int index = 0; index < 100; index++) {
      window.requestStarted(1_000, "service");
    }
    for (int index = 0; index < 20; index++) {
      window.repeated(1_000, "service", 0.5);
    }

    assertThat(granted(1_500, 100, 12)).isEqualTo(11);
  }
}
