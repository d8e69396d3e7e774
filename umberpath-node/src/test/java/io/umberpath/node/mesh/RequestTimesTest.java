package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.routing.RequestKind;
import io.umberpath.model.routing.RoutingRule;
import io.umberpath.model.routing.WeightedService;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class RequestTimesTest {
  private static final long ARRIVED = 1_000;

  /** A request with a target latency of 400 ms and a client timeout of 1,200 ms. */
  private static MeshOutboundPlan plan(int priority, boolean isClientRetry) {
    return plan(priority, isClientRetry, 400);
  }

  private static MeshOutboundPlan plan(
      int priority, boolean isClientRetry, long targetLatencyMillis) {
    RoutingRule rule =
        new RoutingRule(
            "r",
            "h",
            "/",
            RequestKind.SAFE,
            List.of(new WeightedService("s", 1)),
            1_200,
            2,
            targetLatencyMillis,
            priority);
    return new MeshOutboundPlan(
        "id", rule, "s", 1, ARRIVED + 1_200, ARRIVED, 0, isClientRetry, Set.of(), new RetryState());
  }

  @Test
  void timesAreRelativeToNow() {
    MeshOutboundPlan plan = plan(2, false);

    assertThat(RequestTimes.targetInMillis(plan, ARRIVED)).isEqualTo(368);
    assertThat(RequestTimes.targetInMillis(plan, ARRIVED + 400)).isEqualTo(-32);
    assertThat(RequestTimes.refuseWithinMillis(plan, ARRIVED)).isEqualTo(88);
    assertThat(RequestTimes.refuseWithinMillis(plan, ARRIVED + 100)).isNegative();
    assertThat(RequestTimes.startWithinMillis(plan, ARRIVED)).isEqualTo(540);
  }

  @Test
  void urgentRequestsAreDueFirstAndClientRetriesOneTargetLatencyLater() {
    assertThat(RequestTimes.dueInMillis(plan(1, false), ARRIVED)).isEqualTo(40);
    assertThat(RequestTimes.dueInMillis(plan(2, false), ARRIVED)).isEqualTo(400);
    assertThat(RequestTimes.dueInMillis(plan(1, true), ARRIVED)).isEqualTo(440);
    assertThat(RequestTimes.dueInMillis(plan(2, true), ARRIVED)).isEqualTo(800);
  }

  /** The due time overflowed and put the request before all others. */
  @Test
  void leastUrgentRequestWithLongestTargetIsDueLast() {
    MeshOutboundPlan plan = plan(Integer.MAX_VALUE, true, 1_000_000_000_000_000L);

    assertThat(RequestTimes.dueInMillis(plan, ARRIVED)).isEqualTo(Integer.MAX_VALUE);
  }
}
