package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.StorePosition;
import io.umberpath.model.PeerAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;

final class TransferScheduleTest {
  private static final int PORT = 7_300;
  private static final StorePosition NEWER = new StorePosition(StorePosition.NO_ERA, 50);

  private static List<String> askedUntil(TransferSchedule schedule, long endMillis) {
    List<String> asked = new ArrayList<>();
    for (long now = 0; now <= endMillis; now += StatePuller.CHECK_INTERVAL_MILLIS) {
      schedule
          .nextSource(now, MeshView.EMPTY, false, host -> false)
          .map(PeerAddress::host)
          .ifPresent(asked::add);
    }
    return asked;
  }

  /**
   * The nodes of a zone that had announced a change were paused together. Another node of the zone
   * asked them one after the other, until no transfer could start before the first one timed out.
   */
  @RepeatedTest(20)
  void pausedSourcesOfTheOwnZoneDoNotDelayASourceOfAnotherZone(RepetitionInfo repetition) {
    Random random = new Random(repetition.getCurrentRepetition());
    TransferSchedule schedule = new TransferSchedule(List.of(), PORT, false, () -> random);
    for (String host : List.of("near-1", "near-2", "near-3", "near-4")) {
      schedule.recordNewerState(0, host, true, 5, NEWER);
    }
    schedule.recordNewerState(0, "far", false, 5, NEWER);

    long endMillis =
        TransferSchedule.OTHER_ZONE_WAIT_MILLIS + TransferSchedule.SLOW_TRANSFER_MILLIS;
    assertThat(askedUntil(schedule, endMillis)).contains("far");
  }
}
