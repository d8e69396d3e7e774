package io.umberpath.control;

import java.util.List;

/**
 * The control side of one node as a state machine. Not thread-safe: the owner calls it from one
 * thread at a time. Deterministic: equal inputs in equal order give equal outputs.
 */
public interface ControlNode {
  /**
   * Handles one input.
   *
   * @param nowMillis a clock that never goes back within a process; only differences matter
   * @param input what happened
   * @return what the owner must do, in order; never null
   */
  List<ControlOutput> handle(long nowMillis, ControlInput input);

  /** When the next {@link ControlInput.Tick} is due, on the clock of {@link #handle}. */
  long nextWakeMillis();

  /** What this node believes now; cheap and immutable. */
  ControlStatus status();
}
