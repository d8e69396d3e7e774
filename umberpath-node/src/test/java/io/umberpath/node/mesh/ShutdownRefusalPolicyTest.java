package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class ShutdownRefusalPolicyTest {
  private static final long REFUSE_FROM = 10_000;
  private static final long CUT_OFF = 12_000;
  private static final long LATEST_BACKEND_DEADLINE = 13_000;

  private final ShutdownRefusalPolicy policy =
      new ShutdownRefusalPolicy(REFUSE_FROM, CUT_OFF, () -> LATEST_BACKEND_DEADLINE);

  @Test
  void refusesRequestsThatMayBeCutOff() {
    assertThat(policy.shouldRefuse(LATEST_BACKEND_DEADLINE + 1_000, REFUSE_FROM)).isTrue();
  }

  @Test
  void acceptsRequestsBeforeRefusalStarts() {
    assertThat(policy.shouldRefuse(LATEST_BACKEND_DEADLINE + 1_000, REFUSE_FROM - 1)).isFalse();
  }

  @Test
  void acceptsRequestsThatEndBeforeTheCutOff() {
    assertThat(
            new ShutdownRefusalPolicy(REFUSE_FROM, CUT_OFF, () -> Long.MIN_VALUE)
                .shouldRefuse(CUT_OFF, REFUSE_FROM))
        .isFalse();
  }

  @Test
  void acceptsPossibleNestedCallsOfTheBackend() {
    assertThat(policy.shouldRefuse(LATEST_BACKEND_DEADLINE, REFUSE_FROM)).isFalse();
    assertThat(policy.shouldRefuse(LATEST_BACKEND_DEADLINE + 100, REFUSE_FROM)).isFalse();
  }

  @Test
  void acceptsAllRequestsWhileTheNodeIsNotStopping() {
    assertThat(ShutdownRefusalPolicy.REFUSE_NONE.shouldRefuse(Long.MAX_VALUE, Long.MAX_VALUE - 1))
        .isFalse();
  }
}
