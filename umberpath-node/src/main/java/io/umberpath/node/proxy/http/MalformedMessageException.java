package io.umberpath.node.proxy.http;

/** A message whose framing or shape is doubtful; its connection must be closed. */
public final class MalformedMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean tooLarge;

  /** Creates one; the message names the fault and never quotes header values. */
  public MalformedMessageException(String message) {
    this(message, false);
  }

  private MalformedMessageException(String message, boolean tooLarge) {
    super(message, null, false, false);
    this.tooLarge = tooLarge;
  }

  /** A message beyond a limit. */
  static MalformedMessageException tooLarge(String message) {
    return new MalformedMessageException(message, true);
  }

  /** Whether it exceeds a limit, and has no other fault so far. */
  boolean isTooLarge() {
    return tooLarge;
  }
}
