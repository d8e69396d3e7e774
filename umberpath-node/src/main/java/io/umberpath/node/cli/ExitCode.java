package io.umberpath.node.cli;

/** Exit codes of the command line. Their numbers are stable. */
public enum ExitCode {
  /** Success. */
  OK(0),
  /** Refused; nothing ran. */
  REFUSED(1),
  /** Invalid arguments or an invalid file; nothing ran. */
  USAGE(2),
  /** The change may have run; it is safe to retry it with the same request id. */
  MAY_HAVE_RUN(3),
  /** No server or no leader with a quorum is available; nothing ran. Can be retried. */
  UNAVAILABLE(4);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit code of the process. */
  public int number() {
    return number;
  }
}
