package io.umberpath.traffic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.traffic.routing.SlowdownDetector.Running;
import java.util.List;
import org.junit.jupiter.api.Test;

final class SlowdownDetectorTest {
  private static Running running(long ageMillis, long expectedMillis) {
    return new Running(ageMillis * 1_000, expectedMillis * 1_000);
  }

  @Test
  void requestsAtHalfTheirExpectedTimeAreNotSlow() {
    assertThat(
            SlowdownDetector.slowdownFactor(
                List.of(running(30, 60), running(120, 240), running(8, 15))))
        .isEqualTo(1);
  }

  @Test
  void oneLongRequestIsNotASlowdown() {
    assertThat(
            SlowdownDetector.slowdownFactor(
                List.of(running(600, 60), running(30, 60), running(10, 60))))
        .isEqualTo(1);
  }

  @Test
  void aMajorityOfOverdueRequestsIsASlowdown() {
    assertThat(
            SlowdownDetector.slowdownFactor(
                List.of(running(300, 60), running(240, 60), running(400, 60))))
        .isEqualTo(10);
  }

  @Test
  void withoutExpectedTimesThereIsNoEstimate() {
    assertThat(
            SlowdownDetector.slowdownFactor(
                List.of(running(300, 0), running(240, 0), running(400, 60))))
        .isEqualTo(1);
  }
}
