package io.umberpath.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/**
 * The difference between two consecutive agreed states; a full state is a delta from {@link
 * FleetState#EMPTY}.
 *
 * @param base version the delta applies to
 * @param baseHash content hash of the base
 * @param target version it produces
 * @param targetHash content hash it must produce
 * @param upserts resources to create or replace
 * @param deletes resources to remove
 * @param drains drains to start or stop
 * @param removedSlots slots of roster members that leave
 * @param addedMembers roster members that join, slots assigned
 * @param rosterBasis how to derive {@link FleetState#previousRoster()}
 * @param explicitPreviousRoster the previous roster, for {@link RosterBasis#EXPLICIT}
 * @param answered results of operator changes that this delta contains
 * @param forgotten keys of results that are no longer kept
 * @param nextSlot lower bound of the next free slot in the target state, so that a node that
 *     received the full state does not reuse the slot of a former member
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

  /** Whether the delta carries a full state. */
  @JsonIgnore
  public boolean isWholeState() {
    return base.equals(Version.NONE);
  }

  /** Returns a copy with another hash that it must produce. */
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
   * Applies the delta completely or not at all.
   *
   * @return the new state, or the violation that explains why nothing was applied
   */
  public Either<Violation, FleetState> applyTo(FleetState state) {
    return StateDeltas.apply(this, state);
  }

  /**
   * The result of one operator change.
   *
   * @param key tenant and request id, see {@link StateDeltas#answerKey}
   * @param change its fingerprint and version
   */
  public record Answer(String key, FleetState.AnsweredChange change) {}

  /** How the previous roster of the target state is derived from the base. */
  public enum RosterBasis {
    /** The base's roster is committed: previous equals current. */
    SETTLED,
    /** This delta changes the roster: previous is the base's roster. */
    FROM_BASE,
    /**
     * Re-proposal of a state whose roster change is uncommitted: previous is the base's previous
     * roster.
     */
    KEPT,
    /** The delta contains the previous roster. */
    EXPLICIT
  }
}
