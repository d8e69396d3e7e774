package io.umberpath.node.platform;

import java.io.IOException;

/** A read of the platform that returned no valid document; the message names the cause. */
public final class PlatformReadException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception without a cause. */
  public PlatformReadException(String message) {
    super(message);
  }

  /** Creates an exception with a cause. */
  public PlatformReadException(String message, Throwable cause) {
    super(message, cause);
  }
}
