package io.umberpath.node.proxy.http;

/**
 * Thrown for a message whose syntax or framing is invalid or ambiguous; its connection must be
 * closed.
 */
public final class MalformedMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean tooLarge;

  /** Creates an exception. The message describes the violation and must not quote header values. */
  public MalformedMessageException(String message) {
    this(message, false);
  }

  private MalformedMessageException(String message, boolean tooLarge) {
    super(message, null, false, false);
    this.tooLarge = tooLarge;
  }

  /** Creates an exception for a message that exceeds a size limit. */
  static MalformedMessageException tooLarge(String message) {
    return new MalformedMessageException(message, true);
  }

  /** Whether the message exceeds a size limit, and no other violation was found before. */
  boolean isTooLarge() {
    return tooLarge;
  }
}
