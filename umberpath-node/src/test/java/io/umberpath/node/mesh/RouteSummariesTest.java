package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.Verdict;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

final class RouteSummariesTest {
  private static final Verdict COMPLETED = new Verdict.Completed();
  private static final Verdict DEADLINE = new Verdict.NotRun(Verdict.Reason.DEADLINE);
  private static final Verdict OVERLOADED = new Verdict.NotRun(Verdict.Reason.OVERLOADED);
  private static final Verdict LOST = new Verdict.MayHaveRun(Verdict.Reason.CONNECTION_LOST);

  private final RouteSummaries summaries = new RouteSummaries();

  private static EndedRequest ended(Verdict verdict, int status, boolean isInTime) {
    return new EndedRequest(verdict, status, isInTime, false, 2, 30, 7, 12_400);
  }

  @Test
  void requestsAreCountedByHowTheyEnded() {
    summaries.record("a", ended(COMPLETED, 200, true));
    summaries.record("a", ended(COMPLETED, 404, true));
    summaries.record("a", ended(COMPLETED, 200, false));
    summaries.record("a", ended(COMPLETED, 500, true));
    summaries.record("a", ended(OVERLOADED, 0, true));
    summaries.record("a", ended(DEADLINE, 0, false));
    summaries.record("a", ended(DEADLINE, 0, false));
    summaries.record("a", ended(LOST, 0, true));
    summaries.record("b", new EndedRequest(COMPLETED, 200, true, true, 1, 4, 90, 0));

    Map<String, RouteSummary> drained = summaries.drain();

    RouteSummary summary = drained.get("a");
    assertThat(summary.count()).isEqualTo(8);
    assertThat(summary.inTime()).isEqualTo(2);
    assertThat(summary.late()).isEqualTo(1);
    assertThat(summary.errors()).isEqualTo(1);
    assertThat(summary.refused()).isEqualTo(3);
    assertThat(summary.failed()).isEqualTo(1);
    assertThat(summary.losses().split(", "))
        .containsExactlyInAnyOrder(
            "2 not-run; reason=deadline",
            "1 not-run; reason=overloaded",
            "1 may-have-run; reason=connection-lost");
    assertThat(summary.attempts()).isEqualTo(16);
    assertThat(summary.retries()).isZero();
    assertThat(summary.maxUnreadMillis()).isEqualTo(7);
    assertThat(summary.backendMillis()).isEqualTo(99);
    assertThat(drained.get("b").retries()).isEqualTo(1);
    assertThat(drained.get("b").maxUnreadMillis()).isEqualTo(90);
  }

  @Test
  void summariesBeginAgainAfterEachCall() {
    summaries.record("a", ended(COMPLETED, 200, true));
    assertThat(summaries.drain()).containsOnlyKeys("a");
    assertThat(summaries.drain()).isEmpty();
    summaries.record("b", ended(COMPLETED, 200, true));
    assertThat(summaries.drain()).containsOnlyKeys("b");
  }

  @Test
  void routesAboveTheBoundShareASummary() {
    for (int round = 0; round < 2; round++) {
      for (int route = 0; route < 3 * RouteSummaries.MAX_ROUTES; route++) {
        summaries.record("r-" + route, ended(COMPLETED, 200, true));
      }
    }

    Map<String, RouteSummary> drained = summaries.drain();

    assertThat(drained).hasSize(RouteSummaries.MAX_ROUTES + 1);
    assertThat(drained.get("r-0").count()).isEqualTo(2);
    assertThat(drained.get(RouteSummaries.OTHER_ROUTES).count())
        .isEqualTo(4L * RouteSummaries.MAX_ROUTES);
  }

  @Test
  void quantilesAreAtMostAQuarterTooHigh() {
    long[] millis = new Random(7).longs(1_000, 0, 20_000).sorted().toArray();
    DurationHistogram histogram = new DurationHistogram();
    LongStream.of(millis).forEach(histogram::add);

    for (int percent : new int[] {1, 50, 90, 99, 100}) {
      long exact = millis[percent * 10 - 1];
      assertThat(histogram.quantile(percent / 100.0)).isBetween(exact, exact * 5 / 4);
    }
    assertThat(histogram.max()).isEqualTo(millis[999]);
  }

  @Test
  void durationsOutsideTheBucketsAreCounted() {
    DurationHistogram histogram = new DurationHistogram();
    assertThat(histogram.quantile(0.5)).isZero();
    histogram.add(-1);
    histogram.add(Long.MAX_VALUE);
    assertThat(histogram.count()).isEqualTo(2);
    assertThat(histogram.quantile(0.5)).isZero();
    assertThat(histogram.quantile(1)).isPositive();
  }
}
