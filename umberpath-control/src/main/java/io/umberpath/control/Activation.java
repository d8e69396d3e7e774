package io.umberpath.control;

import io.umberpath.model.FleetState;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Version;
import io.umberpath.model.Violation;
import io.vavr.control.Either;
import java.util.List;

/**
 * Decides what the proxy runs: the newest committed state composed with the newest document. Both
 * versions of the pair only rise; a pair that does not compose is not activated.
 */
final class Activation {
  private final NodeContext context;
  private final Acceptor acceptor;
  private final DocumentSpread documents;
  private ProxySnapshot active = ProxySnapshot.EMPTY;
  private ProxySnapshot before = ProxySnapshot.EMPTY;
  private FleetState triedState;
  private PlatformDocument triedDocument;
  private List<Violation> violations = List.of();
  private boolean revisionKnown;

  Activation(NodeContext context, Acceptor acceptor, DocumentSpread documents) {
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

  /** Why the newest pair does not compose; empty if it does. */
  List<Violation> violations() {
    return violations;
  }

  /**
   * A member told its revision, which this node holds by now; needed before the first activation.
   */
  void revisionKnown() {
    revisionKnown = true;
  }

  boolean isRevisionKnown() {
    return revisionKnown;
  }

  /**
   * Activates the newest pair if it is new and composes.
   *
   * @return whether the active pair changed
   */
  boolean advance() {
    boolean uncommitted = context.has(SeededFault.ACTIVATE_UNCOMMITTED);
    FleetState state = uncommitted ? acceptor.held() : acceptor.committed();
    PlatformDocument document = documents.current();
    if (!mayActivate(state) || (state == triedState && document == triedDocument)) {
      return false;
    }
    triedState = state;
    triedDocument = document;
    Either<List<Violation>, ProxySnapshot> composed = context.shared().compose(state, document);
    if (composed.isLeft()) {
      refuse(state, document, composed.getLeft());
      return false;
    }
    violations = List.of();
    activate(composed.get());
    return true;
  }

  private void refuse(FleetState state, PlatformDocument document, List<Violation> found) {
    if (violations.isEmpty()) {
      context.notice(
          "pair-does-not-compose",
          state.version() + " with revision " + document.revision() + ": " + found.get(0));
    }
    violations = found;
  }

  private boolean mayActivate(FleetState state) {
    if (state.version().equals(Version.NONE)) {
      return false;
    }
    boolean first = active.version().equals(Version.NONE);
    return !first || (acceptor.isMember() && revisionKnown);
  }

  private void activate(ProxySnapshot snapshot) {
    before = active;
    active = snapshot;
    context.emit(new ControlOutput.Activate(snapshot));
    boolean goBack = context.has(SeededFault.ACCEPT_OLDER_VERSION);
    if (goBack && !before.version().equals(Version.NONE)) {
      active = before;
      context.emit(new ControlOutput.Activate(before));
    }
  }
}
