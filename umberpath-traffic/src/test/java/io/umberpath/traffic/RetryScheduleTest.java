package io.umberpath.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class RetryScheduleTest {
  private static final double INTERVAL_MILLIS = 250;
  private static final double LATEST_MILLIS = 10_000;

  private final RetrySchedule schedule = new RetrySchedule();

  private double reserve(String requestId, double earliestMillis) {
    return schedule.reserve(requestId, earliestMillis, INTERVAL_MILLIS, LATEST_MILLIS);
  }

  @Test
  void requestsGetTimesOfTheirOwn() {
    assertThat(reserve("a", 300)).isEqualTo(300);
    assertThat(reserve("b", 300)).isEqualTo(550);
    assertThat(reserve("c", 300)).isEqualTo(800);
  }

  /**
   * Each attempt of a request reserved a time, so that the times within the deadlines were used up
   * and all later clients were told the same one.
   */
  @Test
  void attemptsOfOneRequestReserveOneTime() {
    assertThat(reserve("a", 300)).isEqualTo(300);
    assertThat(reserve("a", 301)).isEqualTo(300);
    assertThat(reserve("a", 302)).isEqualTo(300);

    assertThat(reserve("b", 303)).isEqualTo(550);
  }

  @Test
  void requestThatReturnsTooEarlyForItsPlaceGetsALaterTime() {
    reserve("a", 300);

    assertThat(reserve("a", 900)).isEqualTo(900);
  }

  @Test
  void timeThatIsTooLateForARequestIsLeftToOthers() {
    schedule.reserve("a", 300, INTERVAL_MILLIS, 200);

    assertThat(reserve("b", 300)).isEqualTo(300);
  }
}
