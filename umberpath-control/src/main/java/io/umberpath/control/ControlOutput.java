package io.umberpath.control;

import io.umberpath.model.ChangeResult;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.ProxySnapshot;
import java.util.List;

/** Everything a {@link ControlNode} asks of its owner. */
public sealed interface ControlOutput {
  /** Send a message; best effort, may be lost. Order per peer is kept while a connection lasts. */
  record Send(PeerAddress to, ControlMessage message) implements ControlOutput {}

  /** Connections to this peer are no longer needed by the control side. */
  record Disconnect(PeerAddress peer) implements ControlOutput {}

  /** Switch the proxy to this snapshot with one reference swap. */
  record Activate(ProxySnapshot snapshot) implements ControlOutput {}

  /** Answer an operator's change. */
  record ChangeAnswered(long ticket, ChangeResult result) implements ControlOutput {}

  /** Read the platform's document now and feed the result back. */
  record ReadPlatform() implements ControlOutput {}

  /** Statements about back ends changed; the owner routes by them. */
  record ObservedUpdated(List<ObservedBackend> backends) implements ControlOutput {}

  /**
   * Something an operator should know.
   *
   * @param event stable event name, for example {@code leader-elected}
   * @param detail human-readable, free of secrets
   */
  record Notice(String event, String detail) implements ControlOutput {}

  /**
   * The leader's per-member view; empty when no leader answered.
   *
   * @param ticket the request it answers
   * @param nodes one entry per roster member
   */
  record FleetViewAnswered(long ticket, List<ControlStatus.NodeView> nodes)
      implements ControlOutput {}
}
