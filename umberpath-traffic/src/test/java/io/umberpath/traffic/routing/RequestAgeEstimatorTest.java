package io.umberpath.traffic.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class RequestAgeEstimatorTest {
  private final RequestAgeEstimator estimator = new RequestAgeEstimator();

  @Test
  void aShorterTimeoutThanUsualMeansARetry() {
    for (int index = 0; index < 10; index++) {
      assertThat(estimator.ageMillis("r", 2_500 - index % 2)).isZero();
    }

    assertThat(estimator.ageMillis("r", 2_300)).isEqualTo(200);
    assertThat(estimator.ageMillis("other", 2_300)).isZero();
  }

  @Test
  void aFewLongerTimeoutsAreIgnored() {
    for (int index = 0; index < 50; index++) {
      estimator.ageMillis("r", index % 10 == 0 ? 9_000 : 2_500);
    }

    assertThat(estimator.ageMillis("r", 2_500)).isZero();
    assertThat(estimator.ageMillis("r", 9_000)).isZero();
  }

  /** During an overload most requests may be retries. */
  @Test
  void manyRetriesAreNotTakenForFirstAttempts() {
    SplittableRandom random = new SplittableRandom(3);
    for (int index = 0; index < 1_000; index++) {
      estimator.ageMillis("r", index % 3 == 0 ? 2_500 : 500 + random.nextInt(1_900));
    }

    assertThat(estimator.ageMillis("r", 2_500)).isZero();
    assertThat(estimator.ageMillis("r", 2_000)).isEqualTo(500);
  }

  @Test
  void adaptsToAChangedTimeout() {
    for (int index = 0; index < 100; index++) {
      estimator.ageMillis("r", 2_500);
    }
    for (int index = 0; index < 300; index++) {
      estimator.ageMillis("r", 1_000);
    }

    assertThat(estimator.ageMillis("r", 1_000)).isZero();
  }
}
