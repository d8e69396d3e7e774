package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.VerdictHeader;
import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;

/** Requests of one route that ended within one interval. Not thread-safe. */
final class RouteSummary {
  private static final int FIRST_SERVER_ERROR = LocalBackendFailures.FIRST_SERVER_ERROR;
  private static final int MICROS_PER_MILLI = 1_000;

  private final DurationHistogram durations = new DurationHistogram();

  /** By reason, as hashing verdicts makes a starting node generate code for it. */
  private final Map<Verdict.Reason, Long> refusals = new EnumMap<>(Verdict.Reason.class);

  private final Map<Verdict.Reason, Long> failures = new EnumMap<>(Verdict.Reason.class);
  private long inTime;
  private long late;
  private long errors;
  private long refused;
  private long failed;
  private long retries;
  private long attempts;
  private long maxUnreadMillis;
  private long backendMicros;

  void add(EndedRequest request) {
    durations.add(request.millis());
    attempts += request.attempts();
    retries += request.isRetry() ? 1 : 0;
    maxUnreadMillis = Math.max(maxUnreadMillis, request.unreadMillis());
    backendMicros += request.backendMicros();
    if (request.verdict() instanceof Verdict.Completed) {
      addCompleted(request);
    } else {
      addLost(request.verdict());
    }
  }

  private void addCompleted(EndedRequest request) {
    if (request.responseStatus() >= FIRST_SERVER_ERROR) {
      errors++;
    } else if (request.isInTime()) {
      inTime++;
    } else {
      late++;
    }
  }

  private void addLost(Verdict verdict) {
    Verdict.Reason reason = VerdictHeader.reasonOf(verdict);
    if (verdict instanceof Verdict.NotRun) {
      refused++;
      refusals.merge(reason, 1L, Long::sum);
    } else {
      failed++;
      failures.merge(reason, 1L, Long::sum);
    }
  }

  long count() {
    return durations.count();
  }

  /** Requests with a backend's response within the target of the route. */
  long inTime() {
    return inTime;
  }

  /** Requests with a backend's response after the target of the route. */
  long late() {
    return late;
  }

  /** Requests with a backend's response that reports a server error. */
  long errors() {
    return errors;
  }

  /** Requests that certainly did not run. */
  long refused() {
    return refused;
  }

  /** Requests that may have run, without a complete response. */
  long failed() {
    return failed;
  }

  /** Requests that had been sent before. */
  long retries() {
    return retries;
  }

  long attempts() {
    return attempts;
  }

  long maxUnreadMillis() {
    return maxUnreadMillis;
  }

  /** Sum of the times that the requests took at backends. */
  long backendMillis() {
    return backendMicros / MICROS_PER_MILLI;
  }

  DurationHistogram durations() {
    return durations;
  }

  /** Returns the counts of refused and of failed requests by reason. */
  String losses() {
    StringJoiner text = new StringJoiner(", ");
    refusals.forEach(
        (reason, count) ->
            text.add(count + " " + VerdictHeader.format(new Verdict.NotRun(reason))));
    failures.forEach(
        (reason, count) ->
            text.add(count + " " + VerdictHeader.format(new Verdict.MayHaveRun(reason))));
    return text.toString();
  }
}
