package io.umberpath.node.proxy.loop;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Event loops that are given more work than they bear, for some seconds. Worked off in the order of
 * arrival, the backlog made every request late, and did so still when the overload had ended.
 */
final class EventLoopOverloadTest {
  private static final int NODES = 6;
  private static final long SEED = 85;
  private static final double CALM_LOAD = 0.6;
  private static final long OVERLOAD_FROM_MILLIS = 1_000;
  private static final long OVERLOAD_TO_MILLIS = 7_000;
  private static final long RECOVERED_MILLIS = 9_000;
  private static final long OFFERED_TO_MILLIS = 10_000;

  /** Leaves the last requests more than their targets. */
  private static final long END_MILLIS = 13_000;

  /** With two tries of each request, 1.35 times the work becomes about twice the work. */
  @ParameterizedTest
  @CsvSource({"1.2,1", "1.5,1", "2,1", "3,1", "1.2,2", "1.35,2"})
  void halfOfWhatTheEventLoopsBearIsInTime(double load, int maxTries) {
    EventLoopModel model = runOverload(load, NODES, maxTries);

    for (EventLoopModel.Kind kind : EventLoopModel.Kind.values()) {
      assertThat(model.shareInTime(kind, OVERLOAD_FROM_MILLIS, OVERLOAD_TO_MILLIS))
          .as(kind.name())
          .isGreaterThan(0.5 / load);
    }
  }

  /** Also if half of the nodes have all backends. */
  @ParameterizedTest
  @CsvSource({"2,6,1", "3,6,1", "2,6,2", "1.5,3,1"})
  void requestsAreInTimeAgainTwoSecondsAfterAnOverload(double load, int gates, int maxTries) {
    EventLoopModel model = runOverload(load, gates, maxTries);

    for (EventLoopModel.Kind kind : EventLoopModel.Kind.values()) {
      assertThat(model.shareInTime(kind, RECOVERED_MILLIS, OFFERED_TO_MILLIS))
          .as(kind.name())
          .isGreaterThan(0.99);
    }
  }

  private static EventLoopModel runOverload(double load, int gates, int maxTries) {
    EventLoopModel model = new EventLoopModel(NODES, maxTries, SEED);
    model.offer(0, OVERLOAD_FROM_MILLIS, CALM_LOAD, gates);
    model.offer(OVERLOAD_FROM_MILLIS, OVERLOAD_TO_MILLIS, load, gates);
    model.offer(OVERLOAD_TO_MILLIS, OFFERED_TO_MILLIS, CALM_LOAD, gates);
    model.run(END_MILLIS);
    return model;
  }
}
