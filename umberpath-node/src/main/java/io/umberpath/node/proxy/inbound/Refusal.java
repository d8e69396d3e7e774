package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.VerdictHeader;

/**
 * The final result of a request that did not get a complete response from a backend.
 *
 * @param verdict not run, or may have run
 * @param retryAfterMillis when a retry makes sense, milliseconds; 0 if unknown
 * @param fromOrigin whether another node refused the request, and not this one
 */
public record Refusal(Verdict verdict, long retryAfterMillis, boolean fromOrigin) {
  private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

  /** Creates a refusal by this node. */
  public Refusal(Verdict verdict, long retryAfterMillis) {
    this(verdict, retryAfterMillis, false);
  }

  /**
   * Creates a refusal of a request that did not run; the reason determines the retry-after time.
   */
  public static Refusal notRun(Verdict.Reason reason) {
    return new Refusal(new Verdict.NotRun(reason), retryAfter(reason));
  }

  /** Creates a refusal of a request that may have run. */
  public static Refusal mayHaveRun(Verdict.Reason reason) {
    return new Refusal(new Verdict.MayHaveRun(reason), 0);
  }

  /** The reason of the verdict. */
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
