package io.umberpath.control;

import io.umberpath.model.FleetState;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.PlatformDocument.Machine;
import io.umberpath.model.Roster;
import io.umberpath.model.Version;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The action that a set of votes allows a candidate to take. */
enum VoteOutcome {
  /** The votes do not suffice yet. */
  INSUFFICIENT,
  /**
   * A quorum of the state's roster granted, and also a quorum of its previous roster while that one
   * may still decide.
   */
  QUORUM,
  /**
   * Every member is accounted for: it granted its vote, has certainly ended, or was accepted as
   * lost by an operator.
   */
  ALL_ACCOUNTED_FOR,
  /**
   * No process holds any state, and every expected process granted its vote or was accepted as
   * lost.
   */
  NEW_FLEET;

  /**
   * Evaluates the votes.
   *
   * @param state the newest state found
   * @param document the platform document that the candidate holds
   * @param acceptedLoss addresses that an operator accepts as lost
   */
  static VoteOutcome evaluate(
      NodeContext context,
      FleetState state,
      PlatformDocument document,
      VoteTally tally,
      Set<PeerAddress> acceptedLoss) {
    if (state.version().equals(Version.NONE)) {
      return canFormFleet(context, document, tally, acceptedLoss) ? NEW_FLEET : INSUFFICIENT;
    }
    Roster previous = tally.isRosterSettled(state) ? state.roster() : state.previousRoster();
    if (isQuorum(context, state.roster(), tally) && isQuorum(context, previous, tally)) {
      return QUORUM;
    }
    boolean allAccountedFor =
        areAllAccountedFor(state.roster(), state, tally, acceptedLoss)
            && areAllAccountedFor(previous, state, tally, acceptedLoss);
    return allAccountedFor ? ALL_ACCOUNTED_FOR : INSUFFICIENT;
  }

  /**
   * Whether a new fleet can form: there are as many processes as expected, including every machine
   * of the newest document that a voter holds, or every seed if no voter holds one. Any survivor of
   * a previous fleet is among them.
   */
  private static boolean canFormFleet(
      NodeContext context,
      PlatformDocument document,
      VoteTally tally,
      Set<PeerAddress> acceptedLoss) {
    Set<PeerAddress> seen = new HashSet<>(acceptedLoss);
    seen.addAll(tally.fresh().keySet());
    boolean newestDocument = document.revision() >= tally.revision();
    return newestDocument
        && seen.size() >= context.settings().initialMembers()
        && seen.containsAll(expected(context, document));
  }

  private static List<PeerAddress> expected(NodeContext context, PlatformDocument document) {
    List<PeerAddress> machines = document.machines().stream().map(Machine::control).toList();
    return machines.isEmpty() ? context.settings().seeds() : machines;
  }

  private static boolean isQuorum(NodeContext context, Roster roster, VoteTally tally) {
    return context.quorum().isQuorum(context.view(roster), tally.granted());
  }

  private static boolean areAllAccountedFor(
      Roster roster, FleetState state, VoteTally tally, Set<PeerAddress> acceptedLoss) {
    for (Member member : roster.members()) {
      if (!tally.granted().contains(member.slot())
          && !acceptedLoss.contains(member.address())
          && !hasGrantedAsJoiner(member, tally)
          && !isSuperseded(member, state)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Whether the member itself granted its vote before it received its slot, or a later process at
   * its address did.
   */
  private static boolean hasGrantedAsJoiner(Member member, VoteTally tally) {
    Member process = tally.fresh().get(member.address());
    return process != null && process.incarnation() >= member.incarnation();
  }

  /**
   * Whether the state's roster contains a later process at the address; the member had ended before
   * that state was proposed.
   */
  private static boolean isSuperseded(Member member, FleetState state) {
    return state
        .roster()
        .at(member.address())
        .filter(current -> current.incarnation() > member.incarnation())
        .isPresent();
  }
}
