package io.umberpath.node.operator;

import io.grpc.Context;
import io.grpc.Deadline;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Time budget of the current call, with a margin so that the response arrives in time. */
final class CallDeadline {
  private static final long MIN_MARGIN_MILLIS = 50;
  private static final long MAX_MARGIN_MILLIS = 500;
  private static final long MARGIN_DIVISOR = 10;

  private CallDeadline() {}

  /**
   * Returns the time left for the current call, minus the margin.
   *
   * @param defaultTimeout returned if the client set no deadline
   * @param maxTimeout upper bound
   * @return zero or less if no time is left
   */
  static Duration remaining(Duration defaultTimeout, Duration maxTimeout) {
    Deadline deadline = Context.current().getDeadline();
    if (deadline == null) {
      return defaultTimeout;
    }
    long remainingMillis = deadline.timeRemaining(TimeUnit.MILLISECONDS);
    long margin =
        Math.max(MIN_MARGIN_MILLIS, Math.min(remainingMillis / MARGIN_DIVISOR, MAX_MARGIN_MILLIS));
    return Duration.ofMillis(Math.min(remainingMillis - margin, maxTimeout.toMillis()));
  }
}
