package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.routing.RequestKind;
import io.umberpath.model.routing.RoutingRule;
import io.umberpath.model.routing.WeightedService;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class ShutdownRefusalPolicyTest {
  private static final long REFUSE_FROM = 10_000;
  private static final long CUT_OFF = 12_000;
  private static final long LATEST_BACKEND_DEADLINE = 13_000;
  private static final String ROUTE = "route";
  private static final RoutingRule SAFE = rule(RequestKind.SAFE);

  private final RouteDurations durations = new RouteDurations();
  private final ShutdownRefusalPolicy policy = policy(LATEST_BACKEND_DEADLINE);

  private ShutdownRefusalPolicy policy(long latestBackendDeadline) {
    return new ShutdownRefusalPolicy(REFUSE_FROM, CUT_OFF, () -> latestBackendDeadline, durations);
  }

  private void recordDurations(long millis) {
    IntStream.range(0, 200).forEach(index -> durations.record(ROUTE, millis));
  }

  private static RoutingRule rule(RequestKind kind) {
    List<WeightedService> targets = List.of(new WeightedService("booking", 1));
    return new RoutingRule(ROUTE, "host", "/", kind, targets, 10_000, 2, 200, 1);
  }

  private static MeshOutboundPlan plan(long arrivedMillis) {
    return new MeshOutboundPlan(
        "id",
        SAFE,
        "booking",
        1,
        LATEST_BACKEND_DEADLINE,
        arrivedMillis,
        0,
        false,
        Set.of(),
        new RetryState());
  }

  @Test
  void refusesRequestsThatMayBeCutOff() {
    recordDurations(100);

    assertThat(policy.shouldRefuse(SAFE, LATEST_BACKEND_DEADLINE + 1_000, REFUSE_FROM)).isTrue();
  }

  @Test
  void acceptsRequestsBeforeRefusalStarts() {
    assertThat(policy.shouldRefuse(SAFE, LATEST_BACKEND_DEADLINE + 1_000, REFUSE_FROM - 1))
        .isFalse();
  }

  @Test
  void acceptsRequestsThatEndBeforeTheCutOff() {
    assertThat(policy(Long.MIN_VALUE).shouldRefuse(SAFE, CUT_OFF, REFUSE_FROM)).isFalse();
  }

  @Test
  void acceptsPossibleNestedCallsOfTheBackend() {
    recordDurations(100);

    assertThat(policy.shouldRefuse(SAFE, LATEST_BACKEND_DEADLINE, REFUSE_FROM)).isFalse();
    assertThat(policy.shouldRefuse(SAFE, LATEST_BACKEND_DEADLINE + 100, REFUSE_FROM)).isFalse();
  }

  /** A request whose deadline was like that of a nested call was cut off at work. */
  @Test
  void refusesRequestsThatUsuallyEndAfterTheCutOff() {
    recordDurations(1_700);

    assertThat(policy.shouldRefuse(SAFE, LATEST_BACKEND_DEADLINE, REFUSE_FROM + 200)).isFalse();
    assertThat(policy.shouldRefuse(SAFE, LATEST_BACKEND_DEADLINE, REFUSE_FROM + 400)).isTrue();
  }

  @Test
  void refusesRequestsWhoseDurationVariesTooMuch() {
    for (int index = 0; index < 60; index++) {
      durations.record(ROUTE, index % 2 == 0 ? 100 : 1_300);
    }

    assertThat(policy.shouldRefuse(SAFE, LATEST_BACKEND_DEADLINE, REFUSE_FROM)).isTrue();
  }

  /** An order of unknown duration was cut off at work, and might not be sent again. */
  @Test
  void refusesOrdersOfUnknownDuration() {
    assertThat(
            policy.shouldRefuse(
                rule(RequestKind.NON_IDEMPOTENT), LATEST_BACKEND_DEADLINE, REFUSE_FROM))
        .isTrue();
  }

  /** Work that the shutdown waited for failed, since a call of it was refused. */
  @Test
  void acceptsRepeatableCallsOfUnknownDuration() {
    assertThat(policy.shouldRefuse(SAFE, LATEST_BACKEND_DEADLINE, REFUSE_FROM)).isFalse();
  }

  /** A request that had been accepted late was cut off in its second attempt. */
  @Test
  void laterAttemptOfLateRequestIsCheckedAgain() {
    recordDurations(1_700);

    assertThat(policy.isTooLate(plan(REFUSE_FROM + 100), REFUSE_FROM + 400)).isTrue();
    assertThat(policy.isTooLate(plan(REFUSE_FROM + 100), REFUSE_FROM + 200)).isFalse();
    assertThat(policy.isTooLate(plan(REFUSE_FROM - 100), REFUSE_FROM + 400)).isFalse();
  }

  /** A request that had been accepted late was cut off after it had waited for a slot. */
  @Test
  void lateRequestMustStartInTimeToEnd() {
    recordDurations(1_500);

    assertThat(policy.startWithinMillis(plan(REFUSE_FROM + 100), REFUSE_FROM + 100)).isEqualTo(400);
    assertThat(policy.startWithinMillis(plan(REFUSE_FROM - 100), REFUSE_FROM + 100))
        .isEqualTo(Integer.MAX_VALUE);
  }

  @Test
  void acceptsAllRequestsWhileTheNodeIsNotStopping() {
    assertThat(
            ShutdownRefusalPolicy.REFUSE_NONE.shouldRefuse(
                SAFE, Long.MAX_VALUE, Long.MAX_VALUE - 1))
        .isFalse();
  }
}
