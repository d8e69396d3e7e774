package io.umberpath.node.control;

import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlStatus;
import io.umberpath.model.ChangeResult;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A task queued for the control thread. */
sealed interface ControlTask {
  /** An input without a result. */
  record Input(ControlInput input) implements ControlTask {}

  /**
   * A configuration change or a request to re-form the fleet.
   *
   * @param ticket correlates the node's output with this request
   * @param input the input, which carries the same ticket
   * @param result completed exactly once
   * @param timeout starts when the control thread dequeues the task
   */
  record Change(
      long ticket, ControlInput input, CompletableFuture<ChangeResult> result, Duration timeout)
      implements ControlTask {}

  /**
   * A request for the leader's view of each member.
   *
   * @param ticket correlates the node's output with this request
   * @param result completed exactly once
   * @param timeout starts when the control thread dequeues the task
   */
  record FleetView(
      long ticket, CompletableFuture<List<ControlStatus.NodeView>> result, Duration timeout)
      implements ControlTask {}
}
