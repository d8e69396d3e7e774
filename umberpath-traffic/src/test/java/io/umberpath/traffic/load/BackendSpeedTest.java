package io.umberpath.traffic.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.traffic.routing.RouteAverages;
import java.util.Random;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class BackendSpeedTest {
  private static final Offset<Double> TOLERANCE = Offset.offset(0.05);
  private static final String ROUTE = "read";
  private static final double NO_AGE_SIGNAL = 1;

  /** Simulated slowdowns: duration, probability and factor. */
  private static final int PHASE_MILLIS = 600;

  private static final double SLOW_PROBABILITY = 0.15;
  private static final double SLOW_FACTOR = 2.5;

  private final BackendSpeed speed = new BackendSpeed();
  private long now = 1_000_000;

  private void sendStatement(int percent) {
    speed.updateStatement(now, new BackendStatement(3, 0, 6, percent));
  }

  private void sendStatementsFor(long millis, int percent) {
    for (long end = now + millis; now < end; now += 50) {
      sendStatement(percent);
    }
  }

  @Test
  void aShortSlowdownShowsAtOnceAndDecays() {
    sendStatementsFor(10_000, 100);
    sendStatement(250);

    assertThat(speed.slowdown(now, NO_AGE_SIGNAL)).isEqualTo(2.5, TOLERANCE);
    assertThat(speed.slowdown(now + 300, NO_AGE_SIGNAL)).isEqualTo(1.75, TOLERANCE);
  }

  /** Some backends of a service always take 1.7 times as long as is usual there. */
  @Test
  void aConstantlySlowBackendIsAtItsUsualSpeed() {
    sendStatementsFor(10_000, 170);
    assertThat(speed.slowdown(now, NO_AGE_SIGNAL)).isEqualTo(1, TOLERANCE);

    sendStatement(100);
    assertThat(speed.slowdown(now, NO_AGE_SIGNAL)).isEqualTo(0.59, TOLERANCE);
  }

  @Test
  void timesDuringASlowdownAreNormalizedToTheUsualSpeed() {
    sendStatementsFor(20_000, 100);
    sendStatementsFor(500, 200);

    long usual = speed.recordResponse(now, ROUTE, 300_000);

    assertThat(usual / 1_000.0).isEqualTo(150, Offset.offset(12.0));
  }

  @Test
  void withoutStatementsTimesAreNotNormalized() {
    for (int responses = 0; responses < 50; responses++) {
      assertThat(speed.recordResponse(now, ROUTE, 60_000)).isEqualTo(60_000);
      now += 50;
    }
    assertThat(speed.slowdown(now, NO_AGE_SIGNAL)).isEqualTo(1);
  }

  @Test
  void requestAgesOverrideAStatementOfNormalSpeed() {
    sendStatementsFor(5_000, 100);

    assertThat(speed.slowdown(now, 4)).isEqualTo(4);
  }

  @Test
  void statementsAreClamped() {
    sendStatementsFor(10_000, 100);
    sendStatement(999_999_999);

    assertThat(speed.slowdown(now, NO_AGE_SIGNAL)).isLessThanOrEqualTo(10);
  }

  @Test
  void falseStatementsLoseTrustAndRegainItOnceAccurate() {
    Random random = new Random(3);
    for (int responses = 0; responses < 60; responses++) {
      sendStatement(random.nextBoolean() ? 1_000 : 100);
      speed.recordResponse(now, ROUTE, 60_000);
      now += 70;
    }
    sendStatement(1_000);
    assertThat(speed.isTrusted()).isFalse();
    assertThat(speed.slowdown(now, NO_AGE_SIGNAL)).isEqualTo(1);

    for (int responses = 0; responses < 400; responses++) {
      int percent = random.nextInt(4) == 0 ? 250 : 100;
      sendStatementsFor(100, percent);
      speed.recordResponse(now, ROUTE, 600L * percent);
    }
    assertThat(speed.isTrusted()).isTrue();
  }

  /**
   * Response times with short slowdowns caused by other processes on the machine: compares the
   * errors of normalized and plain estimates.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void normalizedEstimatesAreCloserThanPlainMeans(long seed) {
    Random random = new Random(seed);
    RouteAverages plain = new RouteAverages(1);
    RouteAverages usual = new RouteAverages(1);
    double plainError = 0;
    double statedError = 0;
    double factor = 1;
    for (int phase = 0; phase < 200; phase++) {
      factor = random.nextDouble() < SLOW_PROBABILITY ? SLOW_FACTOR : 1;
      for (int each = 0; each < PHASE_MILLIS / 60; each++) {
        now += 60;
        long micros = Math.round(60_000 * factor * (0.7 + 0.6 * random.nextDouble()));
        double expected = usual.average(ROUTE) * speed.slowdown(now - 60, NO_AGE_SIGNAL);
        if (phase > 10) {
          statedError += Math.abs(Math.log(micros / expected));
          plainError += Math.abs(Math.log(micros / (double) plain.average(ROUTE)));
        }
        sendStatement((int) (factor * 100));
        usual.add(ROUTE, speed.recordResponse(now, ROUTE, micros));
        plain.add(ROUTE, micros);
      }
    }

    assertThat(speed.isTrusted()).isTrue();
    assertThat(statedError).isLessThan(0.8 * plainError);
  }
}
