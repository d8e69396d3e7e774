package io.umberpath.node.cli;

/** Exit codes of the command. Their numbers are stable. */
public enum ExitCode {
  /** Done. */
  OK(0),
  /** Refused; nothing ran. */
  REFUSED(1),
  /** Called wrongly, or a file is wrong; nothing ran. */
  USAGE(2),
  /** The change may have run; repeating it with the same request id is safe. */
  MAY_HAVE_RUN(3),
  /** No server, or no leader with a quorum; nothing ran. Worth trying again. */
  UNAVAILABLE(4);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** The number the process ends with. */
  public int number() {
    return number;
  }
}
