package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.inbound.Refusal;
import io.umberpath.traffic.outlier.AttemptResult;
import io.umberpath.traffic.outlier.FailureRate;

/** Tracks the share of failed attempts at the local backend. Thread-safe. */
final class LocalBackendFailures {
  /** Lowest status code that counts as a failure. */
  static final int FIRST_SERVER_ERROR = 500;

  /**
   * Share above which failures are logged, percent. Load balancing attributes lower shares to
   * chance.
   */
  private static final int LOG_THRESHOLD_PERCENT = 20;

  private final MeshEvents events;
  private FailureRate failureRate = new FailureRate();
  private boolean isLoggedAsFailing;

  LocalBackendFailures(MeshEvents events) {
    this.events = events;
  }

  /**
   * Records the end of an attempt at the backend.
   *
   * @param backend id of the backend
   * @param refusal null if the attempt ended with a complete response
   * @param status status code of that response
   */
  synchronized void recordAttempt(long nowMillis, String backend, Refusal refusal, int status) {
    failureRate.recordResult(
        nowMillis, refusal == null ? resultOfResponse(status) : resultOfFailure(refusal.verdict()));
    int percent = failureRate.percent(nowMillis);
    boolean isFailing = percent > LOG_THRESHOLD_PERCENT;
    // The share must fall to half the threshold before the end is logged; otherwise a share that
    // varies around the threshold would be logged again and again.
    if (isFailing && !isLoggedAsFailing
        || isLoggedAsFailing && percent < LOG_THRESHOLD_PERCENT / 2) {
      isLoggedAsFailing = isFailing;
      events.backendFailing(backend, isFailing, percent, failureRate.describeCounts(nowMillis));
    }
  }

  /** Discards all attempts, which belong to an earlier start of the backend. */
  synchronized void reset() {
    failureRate = new FailureRate();
  }

  /** Returns the share of recent attempts that failed, percent. */
  synchronized int percent(long nowMillis) {
    return failureRate.percent(nowMillis);
  }

  private static AttemptResult resultOfResponse(int status) {
    return status < FIRST_SERVER_ERROR ? AttemptResult.SERVED : AttemptResult.SERVER_ERROR;
  }

  private static AttemptResult resultOfFailure(Verdict verdict) {
    if (verdict instanceof Verdict.NotRun notRun) {
      return notRun.reason() == Verdict.Reason.REJECTED
          ? AttemptResult.SHED
          : AttemptResult.NO_EVIDENCE;
    }
    if (verdict instanceof Verdict.MayHaveRun mayHaveRun) {
      return switch (mayHaveRun.reason()) {
        case BAD_ANSWER -> AttemptResult.BAD_ANSWER;
        case CONNECTION_LOST -> AttemptResult.LOST;
        case DEADLINE -> AttemptResult.TIMED_OUT;
        default -> AttemptResult.NO_EVIDENCE;
      };
    }
    return AttemptResult.NO_EVIDENCE;
  }
}
