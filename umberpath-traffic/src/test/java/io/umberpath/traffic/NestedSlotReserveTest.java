package io.umberpath.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class NestedSlotReserveTest {
  private static final int SLOTS = 6;

  private final NestedSlotReserve reserve = new NestedSlotReserve();

  private void run(long count) {
    for (long id = 1; id <= count; id++) {
      reserve.recordStart(0, id);
    }
  }

  @Test
  void keepsNoSlotsWithoutNestedRequests() {
    assertThat(reserve.slotsForOthers(10_000, SLOTS)).isEqualTo(SLOTS);
  }

  @Test
  void keepsAsManySlotsAsNestedRequestsHoldOnAverage() {
    run(2);

    assertThat(reserve.slotsForOthers(0, SLOTS)).isEqualTo(SLOTS);
    assertThat(reserve.slotsForOthers(5_000, SLOTS)).isEqualTo(SLOTS - 2);
    assertThat(reserve.running()).isEqualTo(2);
  }

  @Test
  void leavesOneSlotToTheOthers() {
    run(SLOTS);

    assertThat(reserve.slotsForOthers(10_000, SLOTS)).isEqualTo(1);
  }

  @Test
  void givesSlotsBackOnceNestedRequestsStop() {
    run(1);
    reserve.recordEnd(5_000, 1);

    assertThat(reserve.slotsForOthers(5_000, SLOTS)).isEqualTo(SLOTS - 1);
    assertThat(reserve.slotsForOthers(5_800, SLOTS)).isEqualTo(SLOTS);
  }

  @Test
  void requestsThatAreNotNestedDoNotCount() {
    reserve.recordEnd(0, 1);

    assertThat(reserve.running()).isZero();
    assertThat(reserve.slotsForOthers(1_000, SLOTS)).isEqualTo(SLOTS);
  }
}
