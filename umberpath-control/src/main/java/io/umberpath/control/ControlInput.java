package io.umberpath.control;

import io.umberpath.model.ChangeSet;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import java.util.Set;

/** An input of a {@link ControlNode}. */
public sealed interface ControlInput {
  /** Timer tick. */
  record Tick() implements ControlInput {}

  /**
   * A message arrived; it may be delayed, duplicated or sent by an earlier incarnation.
   *
   * @param from the sender's listening address
   * @param message the message
   */
  record MessageReceived(PeerAddress from, ControlMessage message) implements ControlInput {}

  /** A connection was lost or could not be established; only a hint. */
  record PeerUnreachable(PeerAddress peer) implements ControlInput {}

  /**
   * An operator submitted a change at this node; its fields have been validated individually.
   *
   * @param ticket identifies the response; chosen by the owner, unique per process
   * @param change the change
   */
  record ChangeSubmitted(long ticket, ChangeSet change) implements ControlInput {}

  /**
   * The owner stops waiting for a ticket, which is immediately answered with what is known of its
   * result.
   */
  record ChangeAbandoned(long ticket) implements ControlInput {}

  /** Response of the platform to a {@link ControlOutput.ReadPlatform}. */
  record DocumentRead(PlatformDocument document) implements ControlInput {}

  /** A read of the platform failed or its response was rejected. */
  record DocumentReadFailed(String cause) implements ControlInput {}

  /**
   * The state of this node's local backend changed; contains no nulls, see {@link ObservedBackend}.
   */
  record BackendObserved(ObservedBackend backend) implements ControlInput {}

  /**
   * An operator requests to re-form the fleet from the survivors reachable from this node although
   * other members are silent.
   *
   * @param ticket identifies the response
   * @param acceptedLoss addresses that the operator accepts as lost, {@code host:port}
   */
  record ReformRequested(long ticket, Set<PeerAddress> acceptedLoss) implements ControlInput {}

  /**
   * An operator requests the leader's per-member view, possibly through a follower.
   *
   * @param ticket identifies the response
   */
  record FleetViewRequested(long ticket) implements ControlInput {}
}
