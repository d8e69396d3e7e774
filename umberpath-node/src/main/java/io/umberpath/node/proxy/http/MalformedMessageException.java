package io.umberpath.node.proxy.http;

/** A message whose framing or shape is doubtful; its connection must be closed. */
public final class MalformedMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates one; the message names the fault and never quotes header values. */
  public MalformedMessageException(String message) {
    super(message, null, false, false);
  }
}
