package io.umberpath.model.routing;

/** Execution semantics of the requests of a route. */
public enum RequestKind {
  /** May run more than once. */
  SAFE(true),
  /** Runs at most once. */
  NON_IDEMPOTENT(false),
  /** Runs at most once and carries a large body. */
  UPLOAD(false);

  private final boolean repeatable;

  RequestKind(boolean repeatable) {
    this.repeatable = repeatable;
  }

  /** Whether a request that may have run may be sent again. */
  public boolean isRepeatable() {
    return repeatable;
  }
}
