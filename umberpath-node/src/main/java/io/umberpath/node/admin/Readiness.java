package io.umberpath.node.admin;

import io.umberpath.control.ControlStatus;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.node.control.ControlService;
import java.util.Optional;

/** Tells whether a node may receive requests. Implementations are thread-safe and cheap. */
@FunctionalInterface
public interface Readiness {
  /** Returns why the node is not ready for requests; empty if it is ready. */
  Optional<String> notReadyReason();

  /** Ready when the node is a member of the fleet and has an active configuration. */
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

  /** Ready when both are; the reason of this one takes precedence. */
  default Readiness and(Readiness other) {
    return () -> {
      Optional<String> ownReason = notReadyReason();
      return ownReason.isPresent() ? ownReason : other.notReadyReason();
    };
  }
}
