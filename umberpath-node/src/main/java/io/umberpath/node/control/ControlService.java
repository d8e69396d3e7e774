package io.umberpath.node.control;

import io.umberpath.control.ControlStatus;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.ProxySnapshot;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;

/** The control plane of this node, as used by its other components. Thread-safe. */
public interface ControlService {
  /**
   * Submits a change; completes with its outcome, or as unknown if the outcome is not known when
   * the timeout expires.
   */
  CompletionStage<ChangeResult> submit(ChangeSet change, Duration timeout);

  /** The leader's view of each member; empty if no leader responds within the timeout. */
  CompletionStage<List<ControlStatus.NodeView>> fleetView(Duration timeout);

  /**
   * Re-forms the fleet without the given unreachable members, accepting the loss of their state.
   */
  CompletionStage<ChangeResult> reform(Set<PeerAddress> acceptedLoss, Duration timeout);

  /** Current status of this node's control plane. */
  ControlStatus status();

  /**
   * The active snapshot; {@link ProxySnapshot#EMPTY} before the first activation. Costs one
   * volatile read.
   */
  ProxySnapshot snapshot();

  /** The latest observation of each backend, by backend id. */
  Map<String, ObservedBackend> observedBackends();

  /** Reports an observation of this node's local backend to the fleet. */
  void reportBackend(ObservedBackend backend);
}
