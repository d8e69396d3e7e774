package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.VerdictHeader;

/**
 * The final answer to a request without a whole answer of a back end.
 *
 * @param verdict not run, or may have run
 * @param retryAfterMillis when coming back makes sense; 0 if not known
 * @param fromOrigin whether another node said so, and not this one
 */
public record Refusal(Verdict verdict, long retryAfterMillis, boolean fromOrigin) {
  private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

  /** A refusal by this node. */
  public Refusal(Verdict verdict, long retryAfterMillis) {
    this(verdict, retryAfterMillis, false);
  }

  /** Certainly did not run; the reason says whether to come back later. */
  public static Refusal notRun(Verdict.Reason reason) {
    return new Refusal(new Verdict.NotRun(reason), retryAfter(reason));
  }

  /** May have run. */
  public static Refusal mayHaveRun(Verdict.Reason reason) {
    return new Refusal(new Verdict.MayHaveRun(reason), 0);
  }

  /** Its reason. */
  public Verdict.Reason reason() {
    return VerdictHeader.reasonOf(verdict);
  }

  private static long retryAfter(Verdict.Reason reason) {
    return switch (reason) {
      case NOT_READY, NO_BACKEND, OVERLOADED, DRAINING, UNREACHABLE, UNREADABLE ->
          DEFAULT_RETRY_AFTER_MILLIS;
      default -> 0;
    };
  }
}
