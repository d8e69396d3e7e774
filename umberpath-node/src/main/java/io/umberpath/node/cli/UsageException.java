package io.umberpath.node.cli;

/** The command was called wrongly. */
final class UsageException extends Exception {
  private static final long serialVersionUID = 1L;

  UsageException(String message) {
    super(message);
  }
}
