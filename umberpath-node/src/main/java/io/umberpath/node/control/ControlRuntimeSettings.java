package io.umberpath.node.control;

/**
 * Limits of a {@link ControlRuntime}.
 *
 * @param maxQueuedMessages maximum number of peer messages queued for the control thread
 */
public record ControlRuntimeSettings(int maxQueuedMessages) {
  /** Defaults for a control heap of 64 MB. */
  public static final ControlRuntimeSettings DEFAULT = new ControlRuntimeSettings(1_024);
}
