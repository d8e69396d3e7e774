package io.umberpath.traffic.routing;

import io.umberpath.model.Verdict;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.BackendStart;
import io.umberpath.traffic.load.DecayingSlowdown;
import io.umberpath.traffic.outlier.FailureRateOutlier;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Statistics that a node keeps about one start of a backend. The owner synchronizes access. */
final class BackendStats {
  private static final double MICROS_PER_MILLI = 1_000;

  /** Upper bound on the routes that are tracked per backend. */
  private static final int MAX_ROUTES = 1_024;

  /** Weight of one response in the moving average of the relative speed. */
  private static final double SPEED_SAMPLE_WEIGHT = 0.2;

  /** Age at which a measured response time counts half, milliseconds. */
  private static final double HALF_TRUST_AGE_MILLIS = 2_000;

  /** Response time relative to other backends from which a backend counts as slow. */
  private static final double SLOW_FACTOR = 3;

  /** Wait for a start from which a backend counts as limited, milliseconds. */
  private static final double LONG_START_WAIT_MILLIS = 500;

  private static final long AVOID_UNREACHABLE_MILLIS = 300;
  private static final long AVOID_REFUSING_MILLIS = 1_000;

  private final long firstSeenMillis;

  /** Start time of the backend; unknown until its entry or the node beside it has reported it. */
  private long startTimeMillis = BackendStart.UNKNOWN_START_TIME_MILLIS;

  private boolean hasLoadReport;
  private long reportedAtMillis = Long.MIN_VALUE;
  private double outstanding;
  private int ownInFlight;
  private int slots = 1;
  private double serviceMillis;
  private final Map<String, RouteTime> routeTimes = new HashMap<>();
  private double lastSpeedRatio = 1;
  private long speedRatioAtMillis;
  private final DecayingSlowdown slowdown = new DecayingSlowdown();
  private double failureRate;
  private double nextStartMillis = Double.NEGATIVE_INFINITY;
  private double startIntervalMillis;
  private double linkFreeAtMillis = Double.NEGATIVE_INFINITY;
  private double bodyMillis;
  private long avoidUntilMillis;
  private long lastActiveMillis;

  /**
   * Response time of a route.
   *
   * @param atMillis when it was measured, or when a request was sent that measures it anew
   */
  private record RouteTime(double millis, long atMillis) {}

  /** Creates statistics for a backend that was not known before. */
  BackendStats(long nowMillis) {
    firstSeenMillis = nowMillis;
    lastActiveMillis = nowMillis;
  }

  /**
   * Creates statistics for a restarted backend. Load reports from before {@code nowMillis} belong
   * to the earlier start and are ignored.
   */
  static BackendStats forRestartedBackend(long nowMillis) {
    BackendStats stats = new BackendStats(nowMillis);
    stats.reportedAtMillis = nowMillis;
    return stats;
  }

  /** Whether both start times are known and differ. */
  boolean isDifferentStart(long otherStartTimeMillis) {
    return BackendStart.areDifferentStarts(startTimeMillis, otherStartTimeMillis);
  }

  /** Takes start time and slots from the entry of the backend. */
  void updateEntry(BackendEntry entry) {
    startTimeMillis = entry.startTimeMillis();
    slots = Math.max(slots, entry.slots());
  }

  /** Records that the backend was used or reported on. */
  void recordActivity(long nowMillis) {
    lastActiveMillis = Math.max(lastActiveMillis, nowMillis);
  }

  /**
   * Whether this node has no request in flight to the backend and nothing was recorded since that
   * time.
   */
  boolean isIdleSince(long millis) {
    return ownInFlight == 0 && lastActiveMillis < millis;
  }

  /** Records that a request was sent to the backend. */
  void recordRequestStart(long nowMillis) {
    ownInFlight++;
    outstanding++;
    nextStartMillis = Math.max(nowMillis, nextStartMillis) + startIntervalMillis;
  }

  /** Records that a request with a long body was sent to the backend. */
  void recordUploadStart(long nowMillis) {
    recordRequestStart(nowMillis);
    linkFreeAtMillis = Math.max(nowMillis, linkFreeAtMillis) + bodyMillis;
  }

  /** Records the end of a request that was sent to the backend. */
  void recordRequestEnd(long nowMillis, Verdict verdict) {
    ownInFlight = Math.max(0, ownInFlight - 1);
    outstanding = Math.max(0, outstanding - 1);
    if (verdict instanceof Verdict.NotRun notRun) {
      recordRefusal(nowMillis, notRun.reason());
    } else if (verdict instanceof Verdict.MayHaveRun mayHaveRun
        && mayHaveRun.reason() == Verdict.Reason.CONNECTION_LOST) {
      recordConnectionLoss(nowMillis);
    }
  }

  private void recordRefusal(long nowMillis, Verdict.Reason reason) {
    switch (reason) {
      case UNREACHABLE -> recordConnectionLoss(nowMillis);
      case DRAINING, NOT_READY, UNREADABLE -> avoidUntilMillis = nowMillis + AVOID_REFUSING_MILLIS;
      default -> {
        // Other refusals need no action: the reported load covers them, and the reported failure
        // rate covers shed work.
      }
    }
  }

  private void recordConnectionLoss(long nowMillis) {
    avoidUntilMillis = nowMillis + AVOID_UNREACHABLE_MILLIS;
    hasLoadReport = false;
  }

  /** Applies a load report from the node beside the backend, unless a newer one is known. */
  void updateLoad(long atMillis, BackendLoad load) {
    if (atMillis < reportedAtMillis) {
      // Gossiped reports are delayed; a load header on a response may be newer than this one.
      return;
    }
    if (isDifferentStart(load.startTimeMillis())) {
      // The report is about an earlier start, or about one that this node has not heard of yet.
      return;
    }
    reportedAtMillis = atMillis;
    hasLoadReport = true;
    outstanding = load.running() + load.queued();
    slots = load.slots();
    serviceMillis = load.serviceMicros() / MICROS_PER_MILLI;
    slowdown.update(atMillis, load.slownessPercent() / (double) BackendLoad.USUAL_PERCENT);
    failureRate = load.failurePercent() / (double) BackendLoad.USUAL_PERCENT;
    bodyMillis = load.uploads().bodyMicros() / MICROS_PER_MILLI;
    linkFreeAtMillis = atMillis + load.uploads().outstanding() * bodyMillis;
  }

  /**
   * Time until the link has carried the bodies that were outstanding at the last report or that
   * this node has sent since, milliseconds.
   */
  double linkWaitMillis(long nowMillis) {
    return Math.max(0, linkFreeAtMillis - nowMillis);
  }

  /** Time that the link needs for a long body, milliseconds; 0 if not known. */
  double bodyMillis() {
    return bodyMillis;
  }

  /**
   * Applies a limit on the request rate that the backend announced.
   *
   * @param waitMillis time until another request may start there
   * @param intervalMillis time between two starts at the full rate; 0 for no limit
   */
  void updateRateLimit(long nowMillis, double waitMillis, double intervalMillis) {
    nextStartMillis = nowMillis + waitMillis;
    startIntervalMillis = intervalMillis;
  }

  /** Time until the announced rate allows another request to start, milliseconds. */
  double startWaitMillis(long nowMillis) {
    return Math.max(0, nextStartMillis - nowMillis);
  }

  /**
   * Updates the response time of a route at this backend.
   *
   * @param usualMicros response time of the route averaged over the backends of the service,
   *     microseconds
   */
  void updateRouteTime(long nowMillis, String route, long micros, long usualMicros) {
    if (routeTimes.size() >= MAX_ROUTES) {
      routeTimes.clear();
    }
    routeTimes.put(route, new RouteTime(micros / MICROS_PER_MILLI, nowMillis));
    double ratio = micros / (double) usualMicros;
    double current = speedRatio(nowMillis);
    lastSpeedRatio = current + SPEED_SAMPLE_WEIGHT * (ratio - current);
    speedRatioAtMillis = nowMillis;
  }

  /**
   * Records that a request of the route will measure its response time again. Until it ends, or
   * fails to, the last measurements count in full: one request is enough to check them.
   */
  void recordRouteCheck(long nowMillis, String route) {
    routeTimes.computeIfPresent(
        route, (name, time) -> new RouteTime(time.millis(), Math.max(nowMillis, time.atMillis())));
    speedRatioAtMillis = Math.max(nowMillis, speedRatioAtMillis);
  }

  /**
   * Trust in a measurement, 1 to 0. It must end without another measurement: a backend that looks
   * slow gets no requests that could show that it is fast again.
   */
  private static double trust(long nowMillis, long atMillis) {
    double ratio = Math.max(0, nowMillis - atMillis) / HALF_TRUST_AGE_MILLIS;
    // Steep, so that backends of unequal speeds are told apart although they are used rarely.
    return 1 / (1 + ratio * ratio * ratio * ratio);
  }

  /** Whether the backend was first seen less than {@code ageMillis} ago. */
  boolean isYoungerThan(long ageMillis, long nowMillis) {
    return nowMillis < firstSeenMillis + ageMillis;
  }

  boolean hasLoadReport() {
    return hasLoadReport;
  }

  /**
   * Requests that run or wait at the backend: the last reported number, adjusted by this node's own
   * requests since then.
   */
  double outstanding() {
    return outstanding;
  }

  /** Requests of this node that run or wait at the backend. */
  int ownInFlight() {
    return ownInFlight;
  }

  /** Requests that the backend processes concurrently. */
  int slots() {
    return slots;
  }

  /** Mean time that a request holds a slot, milliseconds; 0 if not known. */
  double serviceMillis() {
    return serviceMillis;
  }

  /** Response time of the route at this backend, milliseconds; null if not known. */
  Double routeMillis(String route) {
    RouteTime time = routeTimes.get(route);
    return time == null ? null : time.millis();
  }

  /** Trust in {@link #routeMillis}, 1 to 0. */
  double routeTrust(long nowMillis, String route) {
    RouteTime time = routeTimes.get(route);
    return time == null ? 0 : trust(nowMillis, time.atMillis());
  }

  /** Response time relative to other backends, over all routes; 1 is average or not known. */
  double speedRatio(long nowMillis) {
    return 1 + (lastSpeedRatio - 1) * trust(nowMillis, speedRatioAtMillis);
  }

  /**
   * Current response time relative to the backend's usual one; decays towards 1 with the age of the
   * report.
   */
  double slowdown(long nowMillis) {
    return slowdown.factorAt(nowMillis);
  }

  /** Share of its recent responses that failed, 0 to 1. */
  double failureRate() {
    return hasLoadReport ? failureRate : 0;
  }

  /** Remaining time for which the backend is avoided, milliseconds. */
  double remainingAvoidMillis(long nowMillis) {
    return Math.max(0, avoidUntilMillis - nowMillis);
  }

  /**
   * Why the backend gets fewer requests now; empty if it does not.
   *
   * @param meanFailureRate mean over the backends of its service
   */
  Optional<LatencyAwareBalancer.Avoidance> avoidance(long nowMillis, double meanFailureRate) {
    FailureRateOutlier.FailureRates failures =
        new FailureRateOutlier.FailureRates(failureRate(), meanFailureRate);
    if (remainingAvoidMillis(nowMillis) > 0) {
      return Optional.of(LatencyAwareBalancer.Avoidance.REFUSING);
    }
    if (startWaitMillis(nowMillis) >= LONG_START_WAIT_MILLIS) {
      return Optional.of(LatencyAwareBalancer.Avoidance.RATE_LIMITED);
    }
    if (FailureRateOutlier.excessLoss(failures) > 0) {
      return Optional.of(LatencyAwareBalancer.Avoidance.FAILING);
    }
    return speedRatio(nowMillis) * slowdown(nowMillis) >= SLOW_FACTOR
        ? Optional.of(LatencyAwareBalancer.Avoidance.SLOW)
        : Optional.empty();
  }
}
