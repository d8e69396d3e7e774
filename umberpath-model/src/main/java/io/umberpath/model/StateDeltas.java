package io.umberpath.model;

import io.umberpath.model.StateDelta.RosterBasis;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Builds and applies {@link StateDelta}s. */
public final class StateDeltas {
  private StateDeltas() {}

  /** Key under which the result of an operator's change is kept. */
  public static String answerKey(String tenant, String requestId) {
    return tenant + "/" + requestId;
  }

  /** Returns the full state as one delta from {@link FleetState#EMPTY}. */
  public static StateDelta wholeState(FleetState state) {
    return new StateDelta(
        Version.NONE,
        FleetState.EMPTY.contentHash(),
        state.version(),
        state.contentHash(),
        state.resources().values().toJavaList(),
        List.of(),
        state.drained().toJavaStream().map(id -> new ChangeSet.DrainChange(id, true)).toList(),
        List.of(),
        state.roster().members(),
        state.changesRoster() ? RosterBasis.EXPLICIT : RosterBasis.SETTLED,
        state.changesRoster() ? Optional.of(state.previousRoster()) : Optional.empty(),
        state
            .answered()
            .toJavaStream()
            .map(entry -> new StateDelta.Answer(entry._1, entry._2))
            .toList(),
        List.of(),
        state.nextSlot());
  }

  /**
   * Applies a delta completely or not at all, and verifies base and target hashes.
   *
   * @return the new state, or why the delta does not apply; the given state is never changed
   */
  public static Either<Violation, FleetState> apply(StateDelta delta, FleetState state) {
    FleetState base = delta.isWholeState() ? FleetState.EMPTY : state;
    if (!delta.base().equals(base.version()) || delta.baseHash() != base.contentHash()) {
      return Either.left(
          new Violation("base", base.version().toString(), "delta applies to " + delta.base()));
    }
    FleetState result = applyWithoutHash(delta, base);
    long hash = StateHasher.hash(base, delta, result);
    if (hash != delta.targetHash()) {
      return Either.left(
          new Violation(
              "targetHash", Long.toHexString(hash), "hash mismatch at " + delta.target()));
    }
    return Either.right(withHash(result, hash));
  }

  /**
   * Computes the state that a delta produces, with its hash; for the leader that builds the delta.
   */
  public static FleetState produce(StateDelta delta, FleetState base) {
    FleetState result = applyWithoutHash(delta, base);
    return withHash(result, StateHasher.hash(base, delta, result));
  }

  private static FleetState withHash(FleetState state, long hash) {
    return new FleetState(
        state.version(),
        state.resources(),
        state.drained(),
        state.roster(),
        state.previousRoster(),
        state.nextSlot(),
        state.answered(),
        hash);
  }

  private static FleetState applyWithoutHash(StateDelta delta, FleetState base) {
    TreeMap<ResourceKey, Resource> resources = base.resources();
    for (ResourceKey key : delta.deletes()) {
      resources = resources.remove(key);
    }
    for (Resource resource : delta.upserts()) {
      resources = resources.put(resource.key(), resource);
    }
    TreeSet<String> drained = base.drained();
    for (ChangeSet.DrainChange drain : delta.drains()) {
      drained =
          drain.draining() ? drained.add(drain.backendId()) : drained.remove(drain.backendId());
    }
    LinkedHashMap<String, FleetState.AnsweredChange> answered = base.answered();
    for (String key : delta.forgotten()) {
      answered = answered.remove(key);
    }
    for (StateDelta.Answer answer : delta.answered()) {
      answered = answered.put(answer.key(), answer.change());
    }
    Roster roster = applyRoster(delta, base.roster());
    return new FleetState(
        delta.target(),
        resources,
        drained,
        roster,
        previousRoster(delta, base, roster),
        nextSlot(delta, base),
        answered,
        0L);
  }

  private static Roster applyRoster(StateDelta delta, Roster base) {
    if (delta.removedSlots().isEmpty() && delta.addedMembers().isEmpty()) {
      return base;
    }
    Set<Integer> removed = new HashSet<>(delta.removedSlots());
    List<Member> members = new ArrayList<>();
    for (Member member : base.members()) {
      if (!removed.contains(member.slot())) {
        members.add(member);
      }
    }
    members.addAll(delta.addedMembers());
    return new Roster(members);
  }

  private static Roster previousRoster(StateDelta delta, FleetState base, Roster roster) {
    return switch (delta.rosterBasis()) {
      case SETTLED -> roster;
      case FROM_BASE -> base.roster();
      case KEPT -> base.previousRoster();
      case EXPLICIT -> delta.explicitPreviousRoster().orElse(roster);
    };
  }

  private static int nextSlot(StateDelta delta, FleetState base) {
    int nextSlot = Math.max(base.nextSlot(), delta.nextSlot());
    for (Member member : delta.addedMembers()) {
      nextSlot = Math.max(nextSlot, member.slot() + 1);
    }
    return nextSlot;
  }
}
