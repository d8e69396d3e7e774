package io.umberpath.control;

import io.umberpath.model.ChangeSet;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import java.util.Set;

/** Everything that can happen to a {@link ControlNode}. */
public sealed interface ControlInput {
  /** Time has passed. */
  record Tick() implements ControlInput {}

  /**
   * A message arrived; it may be late, duplicated or from a former incarnation.
   *
   * @param from the sender's listening address
   * @param message the message
   */
  record MessageReceived(PeerAddress from, ControlMessage message) implements ControlInput {}

  /** A connection broke or could not be made; only a hint. */
  record PeerUnreachable(PeerAddress peer) implements ControlInput {}

  /**
   * An operator's change arrived at this node, already checked field by field.
   *
   * @param ticket names the answer; chosen by the owner, unique per process
   * @param change the change
   */
  record ChangeSubmitted(long ticket, ChangeSet change) implements ControlInput {}

  /** The owner stops waiting for a ticket, which is answered with its truthful verdict at once. */
  record ChangeAbandoned(long ticket) implements ControlInput {}

  /** The platform answered a {@link ControlOutput.ReadPlatform}. */
  record DocumentRead(PlatformDocument document) implements ControlInput {}

  /** A read of the platform failed or its answer was refused. */
  record DocumentReadFailed(String cause) implements ControlInput {}

  /** The back end beside this node changed; null-free, see {@link ObservedBackend}. */
  record BackendObserved(ObservedBackend backend) implements ControlInput {}

  /**
   * An operator decides to re-form the fleet from this node's reachable survivors although members
   * are silent.
   *
   * @param ticket names the answer
   * @param acceptedLoss addresses the operator accepts as lost, {@code host:port}
   */
  record ReformRequested(long ticket, Set<PeerAddress> acceptedLoss) implements ControlInput {}

  /**
   * An operator asks for the leader's per-member view, possibly through a follower.
   *
   * @param ticket names the answer
   */
  record FleetViewRequested(long ticket) implements ControlInput {}
}
