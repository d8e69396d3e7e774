package io.umberpath.node.cli;

/** Thrown for invalid arguments or options. */
final class UsageException extends Exception {
  private static final long serialVersionUID = 1L;

  UsageException(String message) {
    super(message);
  }
}
