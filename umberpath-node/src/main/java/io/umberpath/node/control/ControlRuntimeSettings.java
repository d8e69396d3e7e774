package io.umberpath.node.control;

/**
 * Sizes of a {@link ControlRuntime}.
 *
 * @param maxQueuedMessages messages of peers that may wait for the control thread
 */
public record ControlRuntimeSettings(int maxQueuedMessages) {
  /** Defaults that fit a control heap of 64 MB. */
  public static final ControlRuntimeSettings DEFAULT = new ControlRuntimeSettings(1_024);
}
