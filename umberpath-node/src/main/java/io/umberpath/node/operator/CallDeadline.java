package io.umberpath.node.operator;

import io.grpc.Context;
import io.grpc.Deadline;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** How long the current call may take, kept short enough that the answer still arrives. */
final class CallDeadline {
  private static final long MIN_MARGIN_MILLIS = 50;
  private static final long MAX_MARGIN_MILLIS = 500;
  private static final long MARGIN_SHARE = 10;

  private CallDeadline() {}

  /**
   * Time left for the current call.
   *
   * @param whenNone the time if the caller set no deadline
   * @param longest upper bound
   * @return zero or less if no time is left
   */
  static Duration remaining(Duration whenNone, Duration longest) {
    Deadline deadline = Context.current().getDeadline();
    if (deadline == null) {
      return whenNone;
    }
    long left = deadline.timeRemaining(TimeUnit.MILLISECONDS);
    long margin = Math.max(MIN_MARGIN_MILLIS, Math.min(left / MARGIN_SHARE, MAX_MARGIN_MILLIS));
    return Duration.ofMillis(Math.min(left - margin, longest.toMillis()));
  }
}
