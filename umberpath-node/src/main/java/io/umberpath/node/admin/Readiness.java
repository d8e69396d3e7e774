package io.umberpath.node.admin;

import io.umberpath.control.ControlStatus;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.node.control.ControlService;
import java.util.Optional;

/** Whether a node should be sent calls. Implementations are thread-safe and cheap. */
@FunctionalInterface
public interface Readiness {
  /** Why the node should not be sent calls; empty if it should. */
  Optional<String> notReadyReason();

  /** A node that is a member and has a configuration in force. */
  static Readiness of(ControlService control) {
    return () -> {
      if (control.status().role() == ControlStatus.Role.JOINING) {
        return Optional.of("not a member of the fleet yet");
      }
      return control.snapshot() == ProxySnapshot.EMPTY
          ? Optional.of("no configuration in force yet")
          : Optional.empty();
    };
  }

  /** Ready when both are; this one's obstacle goes first. */
  default Readiness and(Readiness other) {
    return () -> {
      Optional<String> ownReason = notReadyReason();
      return ownReason.isPresent() ? ownReason : other.notReadyReason();
    };
  }
}
