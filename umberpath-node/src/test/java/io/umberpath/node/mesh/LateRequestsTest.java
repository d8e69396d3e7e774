package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class LateRequestsTest {
  private static final long FROM = 10_000;
  private static final long CUT_OFF = 12_000;
  private static final long WORK_ENDS = 13_000;

  private final LateRequests late = new LateRequests(FROM, CUT_OFF, () -> WORK_ENDS);

  @Test
  void refusesWhatTheStopMightCutOff() {
    assertThat(late.refuses(WORK_ENDS + 1_000, FROM)).isTrue();
  }

  @Test
  void takesWhatComesBefore() {
    assertThat(late.refuses(WORK_ENDS + 1_000, FROM - 1)).isFalse();
  }

  @Test
  void takesWhatEndsBeforeTheCutOff() {
    assertThat(new LateRequests(FROM, CUT_OFF, () -> Long.MIN_VALUE).refuses(CUT_OFF, FROM))
        .isFalse();
  }

  @Test
  void takesCallsOfTheWork() {
    assertThat(late.refuses(WORK_ENDS, FROM)).isFalse();
    assertThat(late.refuses(WORK_ENDS + 100, FROM)).isFalse();
  }

  @Test
  void takesAllWhileTheNodeDoesNotStop() {
    assertThat(LateRequests.NONE.refuses(Long.MAX_VALUE, Long.MAX_VALUE - 1)).isFalse();
  }
}
