package io.umberpath.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.Member;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.ObservedBackend.Phase;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.Roster;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.roaringbitmap.RoaringBitmap;

class DistributionTest {
  @ParameterizedTest
  @CsvSource({"0,0", "0.2,0.2"})
  void newestObservationReachesEveryNodeAcrossRestarts(double loss, double duplication) {
    TestFleet fleet = new TestFleet(31, 12, 4);
    fleet.startAll();
    assertThat(fleet.runUntil(20_000, fleet::hasConverged)).isNotNegative();
    for (int counter = 1; counter <= 50; counter++) {
      observe(fleet, 3, new ObservedBackend("b1", 7, counter, Phase.READY, counter));
    }
    observe(fleet, 3, new ObservedBackend("b1", 6, 99, Phase.DOWN, 0));
    assertThat(fleet.runUntil(5_000, () -> hasReachedAll(fleet, 50))).isNotNegative();
    fleet.lossProbability = loss;
    fleet.duplicationProbability = duplication;
    fleet.restart(8);
    fleet.restart(0);
    assertThat(fleet.runUntil(60_000, fleet::hasConverged)).isNotNegative();
    assertThat(fleet.runUntil(60_000, () -> hasReachedAll(fleet, 50))).isNotNegative();
  }

  private static void observe(TestFleet fleet, int index, ObservedBackend backend) {
    fleet.process(index).input(new ControlInput.BackendObserved(backend));
  }

  private static boolean hasReachedAll(TestFleet fleet, long counter) {
    return fleet.liveProcesses().stream()
        .filter(each -> !each.address().equals(fleet.address(3)))
        .allMatch(
            each ->
                each.observed.containsKey("b1") && each.observed.get("b1").counter() == counter);
  }

  @Test
  void documentDeltaReproducesTheContentAndRejectsAnotherBase() {
    PlatformDocument first = TestFleet.document(1);
    PlatformDocument second = new PlatformDocument(2, first.services(), List.of());
    ControlMessage.DocumentDelta delta = DocumentDeltas.between(first, second);
    assertThat(DocumentDeltas.apply(delta, first).get()).isEqualTo(second);
    assertThat(delta.services()).isEmpty();
    PlatformDocument other =
        new PlatformDocument(1, new java.util.TreeMap<>(), List.<PlatformDocument.Machine>of());
    assertThat(DocumentDeltas.apply(delta, other).isLeft()).isTrue();
  }

  private static Roster roster(int size, int zones) {
    List<Member> members = new ArrayList<>();
    for (int slot = 0; slot < size; slot++) {
      PeerAddress address = new PeerAddress("10.0.0." + slot, 1);
      members.add(new Member(slot, address, 1, "z" + slot % zones, "r"));
    }
    return new Roster(members);
  }

  @ParameterizedTest
  @CsvSource({
    "MAJORITY,5,1,3,true",
    "MAJORITY,4,1,2,false",
    "MAJORITY,0,1,0,false",
    "ZONE_MAJORITY,12,4,6,false",
    "ZONE_MAJORITY,12,4,7,true",
    "ZONE_MAJORITY,6,2,4,true",
    "ZONE_MAJORITY,6,2,3,false"
  })
  void quorumFollowsTheConfiguredRule(
      ControlSettings.QuorumRule rule, int size, int zones, int agreed, boolean expected) {
    RoaringBitmap slots = new RoaringBitmap();
    slots.add(0L, agreed);
    RosterView view = new RosterView(roster(size, zones));
    assertThat(Quorum.of(rule).isQuorum(view, slots)).isEqualTo(expected);
  }
}
