package io.umberpath.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.ControlMessage.HeldGroup;
import io.umberpath.model.FleetState;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.PlatformDocument.Machine;
import io.umberpath.model.PlatformDocument.MachineState;
import io.umberpath.model.Roster;
import io.umberpath.model.Version;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class VoteOutcomeTest {
  private static final Version VERSION = new Version(1, 9);
  private static final Member RESTARTED = member(5, 3, 2);

  private static PeerAddress address(int machine) {
    return new PeerAddress("10.0.0." + machine, 7_000);
  }

  private static Member member(int slot, int machine, long incarnation) {
    return new Member(slot, address(machine), incarnation, "z", "r");
  }

  /**
   * Five machines; the process of machine 3 restarted and was replaced by slot 5 instead of slot 3.
   */
  private static FleetState unsettledSwap() {
    List<Member> before = new ArrayList<>();
    for (int machine = 0; machine < 5; machine++) {
      before.add(member(machine, machine, 1));
    }
    List<Member> after = new ArrayList<>(before);
    after.set(3, RESTARTED);
    FleetState empty = FleetState.EMPTY;
    return new FleetState(
        VERSION,
        empty.resources(),
        empty.drained(),
        new Roster(after),
        new Roster(before),
        6,
        empty.answered(),
        0);
  }

  private static NodeContext context() {
    ControlSettings settings =
        new ControlSettings(
            member(Member.NO_SLOT, 0, 1),
            List.of(address(0)),
            5,
            ControlSettings.QuorumRule.MAJORITY,
            10,
            200,
            800,
            1_000,
            3,
            8,
            2,
            500,
            100,
            1_000);
    return new NodeContext(settings, new SharedStateCache(4), Optional.empty());
  }

  /**
   * Processes without a slot are written as machine/incarnation.
   *
   * @param description what the row demonstrates
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "a quorum of both rosters, 0 1 4, 2/2, QUORUM",
    "the replaced process grants before it got its slot, 0 1, 2/2 3/2 4/2, ALL_ACCOUNTED_FOR",
    "the replaced process grants with its slot, 0 1 5, 2/2 4/2, ALL_ACCOUNTED_FOR",
    "the replaced process is silent, 0 1, 2/2 4/2, INSUFFICIENT",
    "an earlier process of its machine answers, 0 1, 2/2 3/1 4/2, INSUFFICIENT",
    "a member is silent, 0 1, 3/2 4/2, INSUFFICIENT"
  })
  void everyMemberOfBothRostersMustBeAccountedFor(
      String description, String slots, String processes, VoteOutcome expected) {
    VoteTally tally = new VoteTally();
    for (String slot : slots.split(" ")) {
      tally.add(new HeldGroup(VERSION, address(0), SlotSet.of(Integer.parseInt(slot))));
    }
    Stream.of(processes.split(" "))
        .map(text -> text.split("/"))
        .map(part -> member(Member.NO_SLOT, Integer.parseInt(part[0]), Long.parseLong(part[1])))
        .forEach(tally::addFresh);

    assertThat(
            VoteOutcome.evaluate(
                context(), unsettledSwap(), PlatformDocument.NONE, tally, Set.of()))
        .isEqualTo(expected);
  }

  private static Set<PeerAddress> addresses(String machines) {
    return machines.isEmpty()
        ? Set.of()
        : Stream.of(machines.split(" "))
            .map(machine -> address(Integer.parseInt(machine)))
            .collect(Collectors.toSet());
  }

  private static PlatformDocument document(String machines) {
    List<Machine> listed =
        addresses(machines).stream()
            .map(address -> new Machine(address, "z", "r", MachineState.LIVE))
            .toList();
    return listed.isEmpty()
        ? PlatformDocument.NONE
        : new PlatformDocument(3, new TreeMap<>(), listed);
  }

  /** Five processes are expected; machine 0 is the only seed. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "every listed machine, 0 1 2 3 4, 0 1 2 3 4, '', 3, NEW_FLEET",
    "a listed machine is silent, 0 1 2 3 4, 0 1 2 3 4 5, '', 3, INSUFFICIENT",
    "the silent machine is accepted as lost, 0 1 2 3 4, 0 1 2 3 4 5, 5, 3, NEW_FLEET",
    "a voter holds a newer document, 0 1 2 3 4, 0 1 2 3 4, '', 4, INSUFFICIENT",
    "no document and every seed, 0 1 2 3 4, '', '', 0, NEW_FLEET",
    "no document and no seed, 1 2 3 4 5, '', '', 0, INSUFFICIENT",
    "no document and the seed is accepted as lost, 1 2 3 4 5, '', 0, 0, NEW_FLEET",
    "a machine that answers and is accepted as lost counts once, 0 1 2 3, '', 3, 0, INSUFFICIENT",
    "too few, 0 1 2 3, 0 1 2 3, '', 3, INSUFFICIENT"
  })
  void newFleetNeedsEveryMachineOfAPossibleFormerFleet(
      String description,
      String machines,
      String listed,
      String acceptedLoss,
      long revision,
      VoteOutcome expected) {
    VoteTally tally = new VoteTally();
    addresses(machines).forEach(each -> tally.addFresh(new Member(-1, each, 1, "z", "r")));
    tally.revision(revision);

    VoteOutcome verdict =
        VoteOutcome.evaluate(
            context(), FleetState.EMPTY, document(listed), tally, addresses(acceptedLoss));

    assertThat(verdict).isEqualTo(expected);
  }
}
