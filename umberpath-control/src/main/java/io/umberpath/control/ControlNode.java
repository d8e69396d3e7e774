package io.umberpath.control;

import java.util.List;

/**
 * The control logic of one node as a state machine. Not thread-safe: the owner must call it from
 * one thread at a time. Deterministic: the same sequence of inputs produces the same sequence of
 * outputs.
 */
public interface ControlNode {
  /**
   * Handles one input.
   *
   * @param nowMillis monotonic clock of the process, milliseconds; only differences matter
   * @param input the input
   * @return the actions that the owner must perform, in order; never null
   */
  List<ControlOutput> handle(long nowMillis, ControlInput input);

  /** When the next {@link ControlInput.Tick} is due, on the clock of {@link #handle}. */
  long nextWakeMillis();

  /** The current state of this node; cheap and immutable. */
  ControlStatus status();
}
