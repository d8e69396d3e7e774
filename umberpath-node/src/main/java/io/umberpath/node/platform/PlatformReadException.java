package io.umberpath.node.platform;

import java.io.IOException;

/** A read of the platform that gave no usable document; the message names the cause. */
public final class PlatformReadException extends IOException {
  private static final long serialVersionUID = 1L;

  /** A failure without an underlying exception. */
  public PlatformReadException(String message) {
    super(message);
  }

  /** A failure caused by another exception. */
  public PlatformReadException(String message, Throwable cause) {
    super(message, cause);
  }
}
