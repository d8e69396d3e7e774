package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.VerdictHeader;
import io.umberpath.node.proxy.inbound.RefusalStyle;

/**
 * Refusals with a strict meaning of the status code: 503 only if the request has not run and never
 * will, 502 or 504 if that is unknown. {@code Retry-After} has fractions of a second.
 */
final class MeshRefusalStyle implements RefusalStyle {
  private static final int UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final double MILLIS_PER_HUNDREDTH = 10;
  private static final long HUNDREDTHS = 100;

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
    long hundredths = Math.round(millis / MILLIS_PER_HUNDREDTH);
    long fraction = hundredths % HUNDREDTHS;
    return hundredths / HUNDREDTHS + (fraction < 10 ? ".0" : ".") + fraction;
  }
}
