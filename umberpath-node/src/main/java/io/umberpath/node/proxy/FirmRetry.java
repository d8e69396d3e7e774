package io.umberpath.node.proxy;

import io.umberpath.traffic.RetryPolicy;

/** Permits two more attempts where nothing can run twice. */
final class FirmRetry implements RetryPolicy {
  private static final int MAX_ATTEMPTS = 3;

  @Override
  public void requestStarted(long nowMillis) {
    // No budget is kept.
  }

  @Override
  public boolean mayRetry(long nowMillis, FailedAttempt failed) {
    boolean safe = failed.repeatable() || failed.verdict().safeToSendAgain();
    return safe
        && failed.bodyReplayable()
        && failed.attempts() < MAX_ATTEMPTS
        && nowMillis < failed.deadlineMillis();
  }
}
