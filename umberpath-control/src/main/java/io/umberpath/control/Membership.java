package io.umberpath.control;

import io.umberpath.model.FleetState;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.Roster;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.roaringbitmap.RoaringBitmap;

/**
 * Roster changes by the leader: new processes join, replaced ones leave, and members are removed
 * that were unreachable for long and that the platform no longer lists. Each step is small enough
 * that the reachable members common to both rosters form a quorum of each.
 */
final class Membership {
  /** How long a member must be unreachable before it may be removed. */
  static final long REMOVAL_MILLIS = 60_000;

  private static final long SCAN_MILLIS = 10_000;
  private static final int UNJOINED_PER_ROUND = 3;

  private final NodeContext context;
  private final Map<Integer, Long> unreachableSince = new LinkedHashMap<>();
  private Set<Integer> removable = Set.of();
  private List<PeerAddress> unjoinedMachines = List.of();
  private long nextScanAt;

  /** A change from one roster to the next. */
  record RosterStep(List<Integer> removedSlots, List<Member> addedMembers) {
    static final RosterStep NONE = new RosterStep(List.of(), List.of());

    boolean isEmpty() {
      return removedSlots.isEmpty() && addedMembers.isEmpty();
    }
  }

  /** A replacement, an addition or a removal that must be part of one step. */
  private record RosterEdit(List<Integer> removed, List<Member> added) {}

  Membership(NodeContext context) {
    this.context = context;
  }

  /** Resets the state for a new term, in which the reachability of members is unknown. */
  void reset() {
    unreachableSince.clear();
    removable = Set.of();
    unjoinedMachines = List.of();
    nextScanAt = context.now() + SCAN_MILLIS;
  }

  /** Updates which members are unreachable; cheap except once every ten seconds. */
  void scan(Roster roster, RoaringBitmap reachable, PlatformDocument document) {
    if (context.now() < nextScanAt) {
      return;
    }
    nextScanAt = context.now() + SCAN_MILLIS;
    unreachableSince.keySet().removeIf(slot -> reachable.contains(slot));
    unreachableSince.keySet().removeIf(slot -> roster.withSlot(slot).isEmpty());
    Set<PeerAddress> listed = new HashSet<>();
    document.machines().forEach(machine -> listed.add(machine.control()));
    Set<Integer> newRemovable = new LinkedHashSet<>();
    for (Member member : roster.members()) {
      if (reachable.contains(member.slot())) {
        continue;
      }
      long since = unreachableSince.computeIfAbsent(member.slot(), slot -> context.now());
      boolean silentForLong = context.now() - since >= REMOVAL_MILLIS;
      if (silentForLong && !listed.isEmpty() && !listed.contains(member.address())) {
        newRemovable.add(member.slot());
      }
    }
    removable = newRemovable;
    unjoinedMachines =
        listed.stream().filter(address -> roster.at(address).isEmpty()).sorted().toList();
  }

  /**
   * Some of the machines that the platform listed at the last scan and that have no member in the
   * roster; different ones in each round. A process whose seeds are all gone learns of the fleet in
   * no other way.
   */
  List<PeerAddress> unjoinedMachines(long round) {
    int size = unjoinedMachines.size();
    int count = Math.min(size, UNJOINED_PER_ROUND);
    List<PeerAddress> selected = new ArrayList<>();
    for (int place = 0; place < count; place++) {
      selected.add(unjoinedMachines.get((int) ((round * UNJOINED_PER_ROUND + place) % size)));
    }
    return selected;
  }

  /** Whether a roster change may be needed. */
  boolean isChangeNeeded(List<Member> joins) {
    return !joins.isEmpty() || !removable.isEmpty();
  }

  /**
   * Computes the next roster change.
   *
   * @param state the committed state
   * @param joins processes waiting for a slot
   * @param reachable slots that reported recently
   */
  RosterStep nextStep(FleetState state, List<Member> joins, RoaringBitmap reachable) {
    List<RosterEdit> edits = edits(state.roster(), joins);
    for (int count = edits.size(); count > 0; count /= 2) {
      RosterStep step = step(edits.subList(0, count), state.nextSlot());
      if (keepsQuorum(state.roster(), step, reachable)) {
        return step;
      }
    }
    return RosterStep.NONE;
  }

  private List<RosterEdit> edits(Roster roster, List<Member> joins) {
    List<RosterEdit> edits = new ArrayList<>();
    Set<Integer> replaced = new HashSet<>();
    for (Member join : joins) {
      Member current = roster.at(join.address()).orElse(null);
      if (current == null) {
        edits.add(new RosterEdit(List.of(), List.of(join)));
      } else if (current.incarnation() < join.incarnation()) {
        replaced.add(current.slot());
        edits.add(new RosterEdit(List.of(current.slot()), List.of(join)));
      }
    }
    for (int slot : removable) {
      if (!replaced.contains(slot) && roster.withSlot(slot).isPresent()) {
        edits.add(new RosterEdit(List.of(slot), List.of()));
      }
    }
    return edits;
  }

  private static RosterStep step(List<RosterEdit> edits, int nextSlot) {
    List<Integer> removed = new ArrayList<>();
    List<Member> added = new ArrayList<>();
    for (RosterEdit item : edits) {
      removed.addAll(item.removed);
      for (Member member : item.added) {
        added.add(member.withSlot(nextSlot + added.size()));
      }
    }
    return new RosterStep(removed, added);
  }

  private boolean keepsQuorum(Roster roster, RosterStep step, RoaringBitmap reachable) {
    RoaringBitmap common = reachable.clone();
    common.and(context.view(roster).slots());
    step.removedSlots().forEach(common::remove);
    RosterView next = new RosterView(apply(roster, step));
    return context.quorum().isQuorum(context.view(roster), common)
        && context.quorum().isQuorum(next, common);
  }

  private static Roster apply(Roster roster, RosterStep step) {
    Set<Integer> removed = new HashSet<>(step.removedSlots());
    List<Member> members = new ArrayList<>(step.addedMembers());
    for (Member member : roster.members()) {
      if (!removed.contains(member.slot())) {
        members.add(member);
      }
    }
    return new Roster(members);
  }

  /**
   * The roster change of a fleet that re-forms: only members that granted their vote stay, and
   * every process without a slot that granted its vote joins.
   */
  static RosterStep reformed(FleetState state, VoteTally tally) {
    List<Integer> removed = new ArrayList<>();
    Set<PeerAddress> kept = new HashSet<>();
    for (Member member : state.roster().members()) {
      Member successor = tally.fresh().get(member.address());
      boolean superseded = successor != null && successor.incarnation() > member.incarnation();
      if (tally.granted().contains(member.slot()) && !superseded) {
        kept.add(member.address());
      } else {
        removed.add(member.slot());
      }
    }
    List<Member> added = new ArrayList<>();
    for (Member process : tally.fresh().values()) {
      if (!kept.contains(process.address())) {
        added.add(process.withSlot(state.nextSlot() + added.size()));
      }
    }
    return new RosterStep(removed, added);
  }
}
