package io.umberpath.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.StorePosition;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class DisasterRecoveryTest {
  private static final int SIZE = 12;

  private static TestFleet formedFleet(long seed) {
    TestFleet fleet = new TestFleet(seed, SIZE, 4);
    fleet.platformDocument = TestFleet.document(1);
    fleet.startAll();
    assertThat(fleet.runUntil(30_000, fleet::hasConverged)).as("formed").isNotNegative();
    return fleet;
  }

  private static Map<Long, String> submitAccepted(TestFleet fleet, String pool) {
    TreeMap<Long, String> tickets = new TreeMap<>();
    long ticket =
        fleet.submit(fleet.liveProcesses().get(0), TestFleet.poolChange("r-" + pool, pool));
    tickets.put(ticket, pool);
    assertThat(fleet.runUntil(10_000, () -> fleet.changeResults.containsKey(ticket)))
        .isNotNegative();
    assertThat(fleet.changeResults.get(ticket)).isInstanceOf(ChangeResult.Accepted.class);
    assertThat(fleet.runUntil(10_000, fleet::hasConverged)).isNotNegative();
    return tickets;
  }

  @ParameterizedTest
  @CsvSource({"5,1", "9,2", "11,3", "5,4", "9,5", "11,6"})
  void fleetThatLosesManyNodesReformsOnTheSurvivorsState(int killed, long seed) {
    TestFleet fleet = formedFleet(seed);
    Map<Long, String> tickets = submitAccepted(fleet, "p1");
    for (int index = 0; index < killed; index++) {
      fleet.kill(index);
    }
    fleet.notices.clear();
    fleet.run(300);
    for (int index = 0; index < killed; index++) {
      fleet.start(index);
    }
    assertThat(fleet.runUntil(30_000, fleet::hasConverged)).as("converged again").isNotNegative();
    assertThat(fleet.lostChanges(tickets)).isEmpty();
    assertThat(fleet.violations).isEmpty();
    assertThat(fleet.notices).noneMatch(notice -> notice.contains("fleet-formed-from-nothing"));
  }

  @Test
  void fleetThatLosesAllNodesFormsAgainAndReportsIt() {
    TestFleet fleet = formedFleet(9);
    fleet.notices.clear();
    for (int index = 0; index < SIZE; index++) {
      fleet.restart(index);
    }
    assertThat(fleet.runUntil(30_000, fleet::hasConverged)).isNotNegative();
    assertThat(fleet.notices).anyMatch(notice -> notice.contains("fleet-formed-from-nothing"));
  }

  @Test
  void silentMembersBlockUntilAnOperatorAcceptsTheirLoss() {
    TestFleet fleet = formedFleet(10);
    Map<Long, String> tickets = submitAccepted(fleet, "p1");
    Set<PeerAddress> lost = new LinkedHashSet<>();
    for (int index = 0; index < 8; index++) {
      lost.add(fleet.address(index));
      fleet.kill(index);
    }
    fleet.run(30_000);
    assertThat(fleet.leader()).isEmpty();
    long refused = fleet.submit(fleet.process(9), TestFleet.poolChange("r-late", "late"));
    fleet.run(10_000);
    assertThat(fleet.changeResults.get(refused)).isInstanceOf(ChangeResult.Refused.class);
    fleet.process(10).input(new ControlInput.ReformRequested(77, lost));
    assertThat(fleet.runUntil(20_000, fleet::hasConverged)).isNotNegative();
    fleet.run(100);
    assertThat(fleet.changeResults.get(77L)).isInstanceOf(ChangeResult.Accepted.class);
    assertThat(fleet.lostChanges(tickets)).isEmpty();
    assertThat(fleet.notices).anyMatch(notice -> notice.contains("fleet-reformed"));
    assertThat(fleet.violations).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void bothPartitionsFollowThePlatformAndOneAcceptsChanges(boolean oneWay) {
    TestFleet fleet = formedFleet(11);
    fleet.maxReaders = 4;
    Set<PeerAddress> partition = new LinkedHashSet<>();
    for (int index = 0; index < SIZE; index++) {
      if (index % 4 == 0) {
        partition.add(fleet.address(index));
      }
    }
    fleet.isCut =
        (from, to) ->
            oneWay
                ? partition.contains(from) && !partition.contains(to)
                : partition.contains(from) != partition.contains(to);
    fleet.run(5_000);
    fleet.platformDocument = TestFleet.document(2);
    assertThat(
            fleet.runUntil(
                20_000, () -> fleet.liveProcesses().stream().allMatch(each -> each.revision == 2)))
        .as("every partition follows the platform")
        .isNotNegative();
    long ticket = fleet.submit(fleet.process(1), TestFleet.poolChange("r-part", "part"));
    assertThat(fleet.runUntil(10_000, () -> fleet.changeResults.containsKey(ticket)))
        .isNotNegative();
    assertThat(fleet.changeResults.get(ticket)).isInstanceOf(ChangeResult.Accepted.class);
    fleet.isCut = (from, to) -> false;
    assertThat(fleet.runUntil(10_000, fleet::hasConverged))
        .as("converged after the partition")
        .isNotNegative();
    assertThat(fleet.violations).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void restartedProcessesDoNotOutvoteAnAcceptedChange(boolean skipIncarnationRule) {
    TestFleet fleet = new TestFleet(16, 5, 1);
    fleet.fault =
        skipIncarnationRule ? Optional.of(SeededFault.SKIP_INCARNATION_RULE) : Optional.empty();
    fleet.platformDocument = TestFleet.document(1);
    fleet.startAll();
    assertThat(fleet.runUntil(30_000, fleet::hasConverged)).isNotNegative();
    Set<PeerAddress> isolated = Set.of(fleet.address(3), fleet.address(4));
    fleet.isCut = (from, to) -> isolated.contains(from) != isolated.contains(to);
    fleet.run(10_000);
    TreeMap<Long, String> tickets = new TreeMap<>();
    tickets.put(fleet.submit(fleet.process(2), TestFleet.poolChange("r1", "p1")), "p1");
    fleet.run(10_000);
    assertThat(fleet.changeResults.values()).allMatch(ChangeResult.Accepted.class::isInstance);
    PeerAddress holder = fleet.address(2);
    fleet.isCut = (from, to) -> from.equals(holder) != to.equals(holder);
    fleet.restart(0);
    fleet.restart(1);
    fleet.run(20_000);
    fleet.isCut = (from, to) -> false;
    boolean converged = fleet.runUntil(20_000, fleet::hasConverged) >= 0;
    boolean isIntact =
        converged && fleet.violations.isEmpty() && fleet.lostChanges(tickets).isEmpty();
    assertThat(isIntact).isEqualTo(!skipIncarnationRule);
  }

  @Test
  void leaderResumedAfterAMinuteChangesNothing() {
    TestFleet fleet = formedFleet(12);
    TestFleet.Process old = fleet.leader().orElseThrow();
    old.isPaused = true;
    assertThat(fleet.runUntil(20_000, () -> fleet.leader().filter(each -> each != old).isPresent()))
        .isNotNegative();
    long ticket = fleet.submit(fleet.leader().orElseThrow(), TestFleet.poolChange("r1", "p1"));
    fleet.run(60_000);
    assertThat(fleet.changeResults.get(ticket)).isInstanceOf(ChangeResult.Accepted.class);
    for (int index = 0; index < SIZE; index++) {
      if (fleet.process(index) == old) {
        fleet.resume(index);
      }
    }
    assertThat(fleet.runUntil(10_000, fleet::hasConverged)).isNotNegative();
    assertThat(fleet.violations).isEmpty();
  }

  @Test
  void relayTreeStaysWithinMaxChildren() {
    TestFleet fleet = new TestFleet(13, 40, 1);
    fleet.maxChildren = 4;
    fleet.startAll();
    assertThat(fleet.runUntil(60_000, fleet::hasConverged)).isNotNegative();
    assertThat(fleet.liveProcesses()).allMatch(each -> each.status().children() <= 4);
    fleet.leader().orElseThrow().isAlive = false;
    fleet.run(3_000);
    assertThat(fleet.runUntil(30_000, () -> fleet.leader().isPresent())).isNotNegative();
    assertThat(fleet.liveProcesses()).allMatch(each -> each.status().children() <= 4);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void memberIsRemovedOnlyIfSilentForLongAndNotListed(boolean listed) {
    TestFleet fleet = formedFleet(17);
    List<PlatformDocument.Machine> machines = new ArrayList<>();
    for (int index = listed ? 0 : 1; index < SIZE; index++) {
      machines.add(
          new PlatformDocument.Machine(
              fleet.address(index), "z", "r", PlatformDocument.MachineState.LIVE));
    }
    fleet.platformDocument = new PlatformDocument(2, TestFleet.document(2).services(), machines);
    fleet.run(5_000);
    fleet.kill(0);
    fleet.run(40_000);
    assertThat(rosterSize(fleet)).isEqualTo(SIZE);
    fleet.run(60_000);
    assertThat(rosterSize(fleet)).isEqualTo(listed ? SIZE : SIZE - 1);
    assertThat(fleet.violations).isEmpty();
  }

  private static int rosterSize(TestFleet fleet) {
    return fleet.leader().orElseThrow().status().committed().roster().size();
  }

  @Test
  void olderPlatformRevisionIsReportedAndIgnored() {
    TestFleet fleet = formedFleet(14);
    fleet.platformDocument = TestFleet.document(5);
    fleet.run(5_000);
    fleet.platformDocument = TestFleet.document(3);
    fleet.run(5_000);
    assertThat(fleet.notices).anyMatch(notice -> notice.contains("platform-revision-went-back"));
    assertThat(fleet.liveProcesses()).allMatch(each -> each.revision == 5);
    assertThat(fleet.violations).isEmpty();
  }

  /**
   * Guards against ignoring a restored platform: after a restore from a backup the platform issues
   * the same revisions again, and as long as documents were ordered by revision alone nothing was
   * accepted until the revisions exceeded the held one.
   */
  @Test
  void platformRestoredInANewerEraIsFollowed() {
    TestFleet fleet = formedFleet(14);
    fleet.platformDocument = TestFleet.document(5);
    fleet.run(5_000);
    long restored = new StorePosition(1, 3).packed();
    fleet.platformDocument = TestFleet.document(restored);
    fleet.run(5_000);
    assertThat(fleet.liveProcesses()).allMatch(each -> each.revision == restored);
    fleet.platformDocument = TestFleet.document(new StorePosition(0, 9).packed());
    fleet.run(5_000);
    assertThat(fleet.liveProcesses()).allMatch(each -> each.revision == restored);
    assertThat(fleet.violations).isEmpty();
  }

  @Test
  void pairThatDoesNotComposeKeepsTheLastValidOne() {
    TestFleet fleet = formedFleet(15);
    submitAccepted(fleet, "p1");
    fleet.platformDocument = new PlatformDocument(9, new TreeMap<>(), List.of());
    fleet.run(5_000);
    assertThat(fleet.liveProcesses()).allMatch(each -> each.revision == 1);
    assertThat(fleet.process(0).status().compositionViolations())
        .anyMatch(violation -> violation.field().equals("pools[p1].service"));
    fleet.platformDocument = TestFleet.document(10);
    fleet.run(5_000);
    assertThat(fleet.liveProcesses()).allMatch(each -> each.revision == 10);
  }
}
