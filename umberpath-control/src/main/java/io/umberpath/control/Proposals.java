package io.umberpath.control;

import io.umberpath.control.Membership.RosterStep;
import io.umberpath.model.FleetState;
import io.umberpath.model.StateDelta;
import io.umberpath.model.StateDelta.RosterBasis;
import io.umberpath.model.StateDeltas;
import io.umberpath.model.Version;
import java.util.List;
import java.util.Optional;

/** Builds the deltas that a leader proposes. */
final class Proposals {
  private Proposals() {}

  /**
   * The state found by a new leader, unchanged except for its version.
   *
   * @param settled whether its roster is known to be committed, so that the previous one no longer
   *     votes
   */
  static StateDelta reproposal(FleetState state, long epoch, boolean settled) {
    RosterBasis basis = settled ? RosterBasis.SETTLED : RosterBasis.KEPT;
    return withHash(draft(state, epoch, RosterStep.NONE, basis, null, 0), state);
  }

  /** The first state of a fleet that forms or re-forms; the previous roster does not vote. */
  static StateDelta reformation(FleetState state, long epoch, RosterStep step) {
    return withHash(draft(state, epoch, step, RosterBasis.SETTLED, null, 0), state);
  }

  /** The next state after a committed state. */
  static StateDelta next(
      FleetState committed, long epoch, RosterStep step, ChangeBatch batch, int remembered) {
    RosterBasis basis = step.isEmpty() ? RosterBasis.SETTLED : RosterBasis.FROM_BASE;
    return withHash(draft(committed, epoch, step, basis, batch, remembered), committed);
  }

  private static StateDelta draft(
      FleetState base,
      long epoch,
      RosterStep step,
      RosterBasis basis,
      ChangeBatch batch,
      int remembered) {
    Version target = base.version().next(epoch);
    return new StateDelta(
        base.version(),
        base.contentHash(),
        target,
        0,
        batch == null ? List.of() : batch.upserts(),
        batch == null ? List.of() : batch.deletes(),
        batch == null ? List.of() : batch.drains(),
        step.removedSlots(),
        step.addedMembers(),
        basis,
        Optional.empty(),
        batch == null ? List.of() : batch.answers(),
        batch == null ? List.of() : batch.evictedKeys(remembered),
        0);
  }

  private static StateDelta withHash(StateDelta draft, FleetState base) {
    return draft.withTargetHash(StateDeltas.produce(draft, base).contentHash());
  }
}
