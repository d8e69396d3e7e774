package io.umberpath.node.operator;

import io.grpc.Context;
import io.grpc.Deadline;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** How long the current call may take, kept short enough that the answer still arrives. */
final class CallDeadline {
  private static final long MIN_MARGIN_MILLIS = 50;
  private static final long MAX_MARGIN_MILLIS = 500;
  private static final long MARGIN_DIVISOR = 10;

  private CallDeadline() {}

  /**
   * Time left for the current call.
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
