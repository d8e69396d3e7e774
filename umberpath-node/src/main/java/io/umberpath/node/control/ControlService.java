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

/** What the rest of the node sees of its control side. Thread-safe. */
public interface ControlService {
  /** Submits a change; completes with its truthful outcome, at the latest after the timeout. */
  CompletionStage<ChangeResult> submit(ChangeSet change, Duration timeout);

  /** The leader's per-member view; empty if no leader answers within the timeout. */
  CompletionStage<List<ControlStatus.NodeView>> fleetView(Duration timeout);

  /** Re-forms the fleet although the named members are silent. */
  CompletionStage<ChangeResult> reform(Set<PeerAddress> acceptedLoss, Duration timeout);

  /** What this node believes now. */
  ControlStatus status();

  /** The snapshot in force; {@link ProxySnapshot#EMPTY} before the first. One volatile read. */
  ProxySnapshot snapshot();

  /** The newest statement about each back end, by id. */
  Map<String, ObservedBackend> observed();

  /** Tells the fleet about the back end beside this node. */
  void observe(ObservedBackend backend);
}
