package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.inbound.Refusal;
import io.umberpath.traffic.outlier.AttemptResult;
import io.umberpath.traffic.outlier.FailureShare;

/** What the answers of the back end beside this node say of it. Thread-safe. */
final class LocalBackendFailures {
  /** From here on an answer does not show that the request ran to a good end. */
  static final int FIRST_SERVER_ERROR = 500;

  /** Share from which on it is logged, percent: below, the choice puts it down to chance. */
  private static final int LOG_THRESHOLD_PERCENT = 20;

  private final MeshEvents events;
  private FailureShare failureShare = new FailureShare();
  private boolean isLoggedAsFailing;

  LocalBackendFailures(MeshEvents events) {
    this.events = events;
  }

  /**
   * An attempt at the back end ended.
   *
   * @param backend the back end
   * @param refusal null if it ended with a whole answer
   * @param status status of that answer
   */
  synchronized void recordAttempt(long nowMillis, String backend, Refusal refusal, int status) {
    failureShare.ended(
        nowMillis, refusal == null ? resultOfResponse(status) : resultOfFailure(refusal.verdict()));
    int percent = failureShare.percent(nowMillis);
    boolean isFailing = percent > LOG_THRESHOLD_PERCENT;
    // Half of it before the end is logged, so that a share around the bound makes no lines.
    if (isFailing && !isLoggedAsFailing
        || isLoggedAsFailing && percent < LOG_THRESHOLD_PERCENT / 2) {
      isLoggedAsFailing = isFailing;
      events.backendFailing(backend, isFailing, percent, failureShare.kinds(nowMillis));
    }
  }

  /** Forgets what was seen: it was of an earlier start of the back end. */
  synchronized void reset() {
    failureShare = new FailureShare();
  }

  /** Share of the attempts that failed lately, percent. */
  synchronized int percent(long nowMillis) {
    return failureShare.percent(nowMillis);
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
