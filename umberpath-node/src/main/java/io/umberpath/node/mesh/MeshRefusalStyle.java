package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.VerdictHeader;
import io.umberpath.node.proxy.inbound.RefusalStyle;
import java.util.Locale;

/**
 * Refusals whose status is a promise: 503 only if the request has not run and never will; 502 or
 * 504 if that is not known. {@code Retry-After} has fractions of a second.
 */
final class MeshRefusalStyle implements RefusalStyle {
  private static final int UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final double MILLIS_PER_SECOND = 1_000;

  @Override
  public int status(Verdict verdict) {
    Verdict.Reason reason = VerdictHeader.reasonOf(verdict);
    if (verdict instanceof Verdict.MayHaveRun) {
      return reason == Verdict.Reason.DEADLINE ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    }
    return switch (reason) {
      case NO_ROUTE, BAD_REQUEST, TOO_LARGE -> reason.status();
      default -> UNAVAILABLE;
    };
  }

  @Override
  public String retryAfter(long millis) {
    return String.format(Locale.ROOT, "%.2f", millis / MILLIS_PER_SECOND);
  }
}
