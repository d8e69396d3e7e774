package io.umberpath.lab.simulate;

import io.umberpath.model.ChangeSet;
import io.umberpath.model.StateDeltas;
import io.umberpath.model.StateHasher;
import io.umberpath.model.Version;

/**
 * One change of an operator and what became of its submissions. Mutated by {@link ChangeLedger}.
 */
final class OperatorChange {
  final ChangeSet change;
  final String answerKey;
  final long fingerprint;
  final long submittedNanos;

  /** Submissions without an answer, those whose process died included. */
  int unanswered;

  int refused;
  Version accepted = Version.NONE;
  Version appeared = Version.NONE;

  /** Set when every holder of it has died: it may now be there or not. */
  boolean waived;

  OperatorChange(ChangeSet change, long submittedNanos) {
    this.change = change;
    this.answerKey = StateDeltas.answerKey(change.tenant(), change.requestId());
    this.fingerprint = StateHasher.fingerprint(change);
    this.submittedNanos = submittedNanos;
  }

  boolean isAccepted() {
    return !accepted.equals(Version.NONE);
  }

  boolean isCertainlyRefused() {
    return refused > 0 && unanswered == 0 && !isAccepted();
  }

  @Override
  public String toString() {
    return "change " + answerKey;
  }
}
