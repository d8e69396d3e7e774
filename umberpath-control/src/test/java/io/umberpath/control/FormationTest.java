package io.umberpath.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.ChangeResult;
import io.umberpath.model.PeerAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FormationTest {
  @ParameterizedTest
  @CsvSource({"1,1", "3,1", "5,2", "12,4", "30,4"})
  void newFleetFormsCommitsAndActivates(int size, int zones) {
    TestFleet fleet = new TestFleet(7, size, zones);
    fleet.platformDocument = TestFleet.document(4);
    fleet.startAll();
    assertThat(fleet.runUntil(20_000, fleet::hasConverged)).as("formed").isNotNegative();
    assertThat(fleet.runUntil(20_000, () -> fleet.process(0).revision == 4)).isNotNegative();
    long ticket = fleet.submit(fleet.process(size - 1), TestFleet.poolChange("r1", "p1"));
    assertThat(fleet.runUntil(5_000, () -> fleet.changeResults.containsKey(ticket)))
        .isNotNegative();
    assertThat(fleet.changeResults.get(ticket)).isInstanceOf(ChangeResult.Accepted.class);
    assertThat(
            fleet.runUntil(
                5_000,
                () ->
                    fleet.liveProcesses().stream()
                        .allMatch(p -> p.snapshot.pools().containsKey("p1"))))
        .isNotNegative();
    assertThat(fleet.violations).isEmpty();
    assertThat(fleet.maxConcurrentReaders).isBetween(1, 2);
  }

  @Test
  void partitionsWithEnoughProcessesFormNoFleetWithoutEverySeed() {
    TestFleet fleet = new TestFleet(9, 12, 4);
    fleet.initialMembers = 5;
    Set<PeerAddress> part = new HashSet<>();
    IntStream.of(0, 3, 4, 5, 6).mapToObj(fleet::address).forEach(part::add);
    fleet.isCut = (from, to) -> part.contains(from) != part.contains(to);
    fleet.startAll();
    fleet.run(30_000);
    assertThat(fleet.leader()).isEmpty();
    assertThat(fleet.violations).isEmpty();
    fleet.isCut = (from, to) -> false;
    assertThat(fleet.runUntil(30_000, fleet::hasConverged)).isNotNegative();
    assertThat(fleet.violations).isEmpty();
  }

  @Test
  void joinerCatchesUpAndRestartedProcessIsANewMember() {
    TestFleet fleet = new TestFleet(8, 6, 2);
    fleet.initialMembers = 5;
    for (int index = 0; index < 5; index++) {
      fleet.start(index);
    }
    assertThat(fleet.runUntil(20_000, fleet::hasConverged)).isNotNegative();
    fleet.start(5);
    assertThat(fleet.runUntil(20_000, fleet::hasConverged)).isNotNegative();
    int slot = fleet.process(5).status().self().slot();
    fleet.restart(5);
    assertThat(fleet.runUntil(20_000, fleet::hasConverged)).isNotNegative();
    assertThat(fleet.process(5).status().self().slot()).isGreaterThan(slot);
    assertThat(fleet.violations).isEmpty();
  }
}
