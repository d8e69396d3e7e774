package io.umberpath.control;

import io.umberpath.model.FleetState;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Version;
import io.umberpath.model.Violation;
import io.vavr.control.Either;
import java.util.List;

/**
 * Decides which configuration the proxy runs: the newest committed state composed with the newest
 * platform document. Both versions of the pair only increase, and a pair that does not compose is
 * not activated.
 */
final class Activation {
  private final NodeContext context;
  private final Acceptor acceptor;
  private final DocumentDistributor documents;
  private ProxySnapshot active = ProxySnapshot.EMPTY;
  private ProxySnapshot previous = ProxySnapshot.EMPTY;
  private FleetState lastTriedState;
  private PlatformDocument lastTriedDocument;
  private List<Violation> violations = List.of();
  private boolean isRevisionKnown;

  Activation(NodeContext context, Acceptor acceptor, DocumentDistributor documents) {
    this.context = context;
    this.acceptor = acceptor;
    this.documents = documents;
  }

  Version version() {
    return active.version();
  }

  long revision() {
    return active.revision();
  }

  /** The reasons why the newest pair does not compose; empty if it does. */
  List<Violation> violations() {
    return violations;
  }

  /**
   * Records that this node holds the revision that a member has reported, which is required before
   * the first activation.
   */
  void markRevisionKnown() {
    isRevisionKnown = true;
  }

  boolean isRevisionKnown() {
    return isRevisionKnown;
  }

  /**
   * Activates the newest pair if it has changed and composes.
   *
   * @return whether the active pair changed
   */
  boolean advance() {
    boolean uncommitted = context.hasFault(SeededFault.ACTIVATE_UNCOMMITTED);
    FleetState state = uncommitted ? acceptor.held() : acceptor.committed();
    PlatformDocument document = documents.current();
    if (!mayActivate(state) || (state == lastTriedState && document == lastTriedDocument)) {
      return false;
    }
    lastTriedState = state;
    lastTriedDocument = document;
    Either<List<Violation>, ProxySnapshot> composed = context.shared().compose(state, document);
    if (composed.isLeft()) {
      reject(state, document, composed.getLeft());
      return false;
    }
    violations = List.of();
    activate(composed.get());
    return true;
  }

  private void reject(FleetState state, PlatformDocument document, List<Violation> newViolations) {
    if (violations.isEmpty()) {
      context.notice(
          "pair-does-not-compose",
          state.version() + " with revision " + document.revision() + ": " + newViolations.get(0));
    }
    violations = newViolations;
  }

  private boolean mayActivate(FleetState state) {
    if (state.version().equals(Version.NONE)) {
      return false;
    }
    boolean isFirst = active.version().equals(Version.NONE);
    return !isFirst || (acceptor.isMember() && isRevisionKnown);
  }

  private void activate(ProxySnapshot snapshot) {
    previous = active;
    active = snapshot;
    context.emit(new ControlOutput.Activate(snapshot));
    boolean goBack = context.hasFault(SeededFault.ACCEPT_OLDER_VERSION);
    if (goBack && !previous.version().equals(Version.NONE)) {
      active = previous;
      context.emit(new ControlOutput.Activate(previous));
    }
  }
}
