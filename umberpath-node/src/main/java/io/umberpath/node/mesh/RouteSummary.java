package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.VerdictHeader;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

/** Requests of one route that ended within one interval. Not thread-safe. */
final class RouteSummary {
  private static final int FIRST_SERVER_ERROR = LocalBackendFailures.FIRST_SERVER_ERROR;
  private static final int MICROS_PER_MILLI = 1_000;

  private final DurationHistogram durations = new DurationHistogram();
  private final Map<Verdict, Long> losses = new HashMap<>();
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
    losses.merge(verdict, 1L, Long::sum);
    if (verdict instanceof Verdict.NotRun) {
      refused++;
    } else {
      failed++;
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

  /** Returns the counts of refused and failed requests by reason, most frequent first. */
  String losses() {
    return losses.entrySet().stream()
        .sorted(Map.Entry.<Verdict, Long>comparingByValue().reversed())
        .map(loss -> loss.getValue() + " " + VerdictHeader.format(loss.getKey()))
        .collect(Collectors.joining(", "));
  }
}
