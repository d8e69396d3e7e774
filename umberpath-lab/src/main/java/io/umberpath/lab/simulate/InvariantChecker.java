package io.umberpath.lab.simulate;

import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlOutput;
import io.umberpath.model.FleetState;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Version;
import java.util.List;

/**
 * Checks every invariant on each step. Work per event is constant, apart from a pass over the
 * roster per committed version and per kill.
 */
final class InvariantChecker {
  private final SimulationSettings settings;
  private final ViolationLog violations;
  private final CommitHistory history;
  private final ActivationChecker activations;
  private final ChangeLedger ledger;
  private final ReaderChecker readers;
  private int losses;

  InvariantChecker(SimulationSettings settings, ViolationLog violations) {
    this.settings = settings;
    this.violations = violations;
    this.history = new CommitHistory(violations, settings.isChecked());
    this.activations = new ActivationChecker(violations, history);
    this.ledger = new ChangeLedger(violations, history);
    this.readers = new ReaderChecker(violations, settings.control().maxReaders());
  }

  /**
   * Looks at a status after an input.
   *
   * @return whether it shows a newly committed version
   */
  boolean handled(SimulatedNode node, ControlInput input, List<ControlOutput> outputs) {
    if (!node.status.heldVersion().equals(node.held)) {
      history.held(node, node.status.heldVersion());
    }
    if (input instanceof ControlInput.ChangeAbandoned abandoned) {
      checkAnsweredAtOnce(node, abandoned.ticket(), outputs);
    }
    FleetState committed = node.status.committed();
    if (committed == node.committedSeen) {
      return false;
    }
    node.committedSeen = committed;
    boolean fresh = history.believed(node, committed);
    if (fresh && settings.isChecked()) {
      ledger.committed(committed);
    }
    return fresh;
  }

  private void checkAnsweredAtOnce(SimulatedNode node, long ticket, List<ControlOutput> outputs) {
    boolean answered =
        outputs.stream()
            .anyMatch(
                output ->
                    output instanceof ControlOutput.ChangeAnswered answer
                        && answer.ticket() == ticket);
    if (!answered && settings.isChecked()) {
      violations.add("abandoned-answered-at-once", node + " did not answer ticket " + ticket);
    }
  }

  void activating(SimulatedNode node, ProxySnapshot snapshot) {
    if (settings.isChecked()) {
      activations.check(node, snapshot);
    }
  }

  void reading(SimulatedNode node, Fleet fleet) {
    if (settings.isChecked()) {
      readers.reading(node, fleet.nodes(), fleet.network());
    }
  }

  /** Excuses what nobody alive can know any more. */
  void died(List<SimulatedNode> nodes) {
    Version highest = Version.NONE;
    long revision = 0;
    for (SimulatedNode node : nodes) {
      if (node.isAlive()) {
        highest = node.held.isAfter(highest) ? node.held : highest;
        revision = Math.max(revision, node.status.document().revision());
      }
    }
    boolean lost = history.newest().version().isAfter(highest);
    if (lost) {
      losses++;
      history.lose(highest);
      ledger.lose(highest, history.newest());
    }
    activations.lose(highest, revision);
  }

  CommitHistory history() {
    return history;
  }

  ChangeLedger ledger() {
    return ledger;
  }

  int peakReaders() {
    return readers.peak();
  }

  /** How often accepted changes died with every process that held them. */
  int losses() {
    return losses;
  }
}
