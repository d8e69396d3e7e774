package io.umberpath.node.proxy.origin;

import com.google.common.flogger.FluentLogger;
import io.umberpath.node.proxy.http.VerdictHeader;

/** Logs failed attempts and requests that were cut off. Thread-safe. */
public class AttemptLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Does not log failed attempts, for handlers that log them themselves. */
  public static final AttemptLog CUT_OFF_ONLY =
      new AttemptLog() {
        @Override
        public void logFailure(RequestAttempt attempt) {}
      };

  /** Logs an attempt that ended without a complete response. */
  public void logFailure(RequestAttempt attempt) {
    logger.atInfo().log(
        "attempt failed: request=%s attempt=%d route=%s origin=%s verdict=\"%s\""
            + " requestBytes=%d micros=%d",
        attempt.requestId(),
        attempt.number(),
        attempt.route(),
        attempt.origin(),
        VerdictHeader.format(attempt.verdict()),
        attempt.requestBytes(),
        attempt.durationMicros());
  }

  /** Logs a request that was cut off because the drain timeout of a graceful shutdown expired. */
  public void logCutOff(String requestId, String route, long requestBytes) {
    logger.atWarning().log(
        "drain bound cut a request off: request=%s route=%s requestBytes=%d",
        requestId, route, requestBytes);
  }
}
