package io.umberpath.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/**
 * The difference between two consecutive agreed states; a whole state is a delta from {@link
 * FleetState#EMPTY}.
 *
 * @param base version the delta applies to
 * @param baseHash content hash of the base
 * @param target version it produces
 * @param targetHash content hash it must produce
 * @param upserts resources to create or replace
 * @param deletes resources to remove
 * @param drains drains to start or stop
 * @param removedSlots roster members that leave
 * @param addedMembers roster members that join, slots assigned
 * @param rosterBasis how {@link FleetState#previousRoster()} follows
 * @param explicitPreviousRoster the previous roster, for {@link RosterBasis#EXPLICIT}
 * @param answered operator changes that this delta answers
 * @param forgotten keys of answered changes that are no longer remembered
 * @param nextSlot lower bound of the next free slot in the target state, so that the slot of a
 *     member that has left is not given out again by a node that received the state whole
 */
public record StateDelta(
    Version base,
    long baseHash,
    Version target,
    long targetHash,
    List<Resource> upserts,
    List<ResourceKey> deletes,
    List<ChangeSet.DrainChange> drains,
    List<Integer> removedSlots,
    List<Member> addedMembers,
    RosterBasis rosterBasis,
    Optional<Roster> explicitPreviousRoster,
    List<Answer> answered,
    List<String> forgotten,
    int nextSlot) {
  /** Copies the lists. */
  public StateDelta {
    upserts = List.copyOf(upserts);
    deletes = List.copyOf(deletes);
    drains = List.copyOf(drains);
    removedSlots = List.copyOf(removedSlots);
    addedMembers = List.copyOf(addedMembers);
    answered = List.copyOf(answered);
    forgotten = List.copyOf(forgotten);
  }

  /** Whether the delta carries a whole state. */
  @JsonIgnore
  public boolean isWholeState() {
    return base.equals(Version.NONE);
  }

  /** The same delta with another hash that it must produce. */
  public StateDelta withTargetHash(long hash) {
    return new StateDelta(
        base,
        baseHash,
        target,
        hash,
        upserts,
        deletes,
        drains,
        removedSlots,
        addedMembers,
        rosterBasis,
        explicitPreviousRoster,
        answered,
        forgotten,
        nextSlot);
  }

  /**
   * Applies the delta whole.
   *
   * @return the new state, or the violation that says why nothing was applied
   */
  public Either<Violation, FleetState> applyTo(FleetState state) {
    return StateDeltas.apply(this, state);
  }

  /**
   * One answered operator change.
   *
   * @param key tenant and request id, see {@link StateDeltas#answerKey}
   * @param change its fingerprint and version
   */
  public record Answer(String key, FleetState.AnsweredChange change) {}

  /** How the previous roster of the target state follows from the base. */
  public enum RosterBasis {
    /** The base's roster is committed: previous equals current. */
    SETTLED,
    /** This delta changes the roster: previous is the base's roster. */
    FROM_BASE,
    /** Re-proposal of an unsettled state: previous is the base's previous roster. */
    KEPT,
    /** The previous roster is written out. */
    EXPLICIT
  }
}
