package io.umberpath.node.control;

import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlStatus;
import io.umberpath.model.ChangeResult;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Something that waits for the control thread. */
sealed interface ControlTask {
  /** An input that nobody waits for. */
  record Input(ControlInput input) implements ControlTask {}

  /**
   * A change or a call to re-form.
   *
   * @param ticket names the answer
   * @param input carries the ticket
   * @param answer completed exactly once
   * @param timeout from when the control thread takes it
   */
  record Change(
      long ticket, ControlInput input, CompletableFuture<ChangeResult> answer, Duration timeout)
      implements ControlTask {}

  /**
   * A request for the leader's per-member view.
   *
   * @param ticket names the answer
   * @param answer completed exactly once
   * @param timeout from when the control thread takes it
   */
  record FleetView(
      long ticket, CompletableFuture<List<ControlStatus.NodeView>> answer, Duration timeout)
      implements ControlTask {}
}
