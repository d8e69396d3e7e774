package io.umberpath.control;

import io.umberpath.model.ChangeResult;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.ProxySnapshot;
import java.util.List;

/** An action that a {@link ControlNode} requests from its owner. */
public sealed interface ControlOutput {
  /**
   * Send a message, best effort: it may be lost. The order per peer is preserved while a connection
   * lasts.
   */
  record Send(PeerAddress to, ControlMessage message) implements ControlOutput {}

  /** The control node no longer needs connections to this peer. */
  record Disconnect(PeerAddress peer) implements ControlOutput {}

  /** Switch the proxy to this snapshot atomically, with one reference swap. */
  record Activate(ProxySnapshot snapshot) implements ControlOutput {}

  /** Respond to an operator's change. */
  record ChangeAnswered(long ticket, ChangeResult result) implements ControlOutput {}

  /** Read the platform document now and pass the result back as an input. */
  record ReadPlatform() implements ControlOutput {}

  /** Observations of backends changed; the owner routes by them. */
  record ObservedUpdated(List<ObservedBackend> backends) implements ControlOutput {}

  /**
   * An event of interest to an operator.
   *
   * @param event stable event name, for example {@code leader-elected}
   * @param detail human-readable, free of secrets
   */
  record Notice(String event, String detail) implements ControlOutput {}

  /**
   * The leader's per-member view; empty if no leader responded.
   *
   * @param ticket ticket of the request
   * @param nodes one entry per roster member
   */
  record FleetViewAnswered(long ticket, List<ControlStatus.NodeView> nodes)
      implements ControlOutput {}
}
