package io.umberpath.traffic.routing;

import io.umberpath.model.Verdict;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.BackendStart;
import io.umberpath.traffic.load.DecayingSlowdown;
import java.util.HashMap;
import java.util.Map;

/** What a node knows of one start of a back end. Owner synchronizes. */
final class BackendStats {
  private static final double MICROS_PER_MILLI = 1_000;

  /** Routes remembered of one back end. */
  private static final int MAX_ROUTES = 1_024;

  /** Weight of one answer in how fast a back end is taken to be. */
  private static final double SPEED_SAMPLE_WEIGHT = 0.2;

  private static final long AVOID_UNREACHABLE_MILLIS = 300;
  private static final long AVOID_REFUSING_MILLIS = 1_000;

  private final long firstSeenMillis;

  /** The start that it is of, once its entry or its node has told. */
  private long startTimeMillis = BackendStart.UNKNOWN_BORN_MILLIS;

  private boolean hasLoadReport;
  private long reportedAtMillis = Long.MIN_VALUE;
  private double outstanding;
  private int ownInFlight;
  private int slots = 1;
  private double serviceMillis;
  private final Map<String, Double> routeMillis = new HashMap<>();
  private double speedRatio = 1;
  private final DecayingSlowdown slowdown = new DecayingSlowdown();
  private double failureRate;
  private long avoidUntilMillis;
  private long lastActiveMillis;

  /** Begins the view of a back end that was not known. */
  BackendStats(long nowMillis) {
    firstSeenMillis = nowMillis;
    lastActiveMillis = nowMillis;
  }

  /**
   * Begins the view of a new start of a back end. What was stated or reported before this node
   * heard of the start is of the earlier one.
   */
  static BackendStats forRestartedBackend(long nowMillis) {
    BackendStats stats = new BackendStats(nowMillis);
    stats.reportedAtMillis = nowMillis;
    return stats;
  }

  /** Whether both starts are told, and differ. */
  boolean isDifferentStart(long otherStartTimeMillis) {
    return startTimeMillis != BackendStart.UNKNOWN_BORN_MILLIS
        && otherStartTimeMillis != BackendStart.UNKNOWN_BORN_MILLIS
        && startTimeMillis != otherStartTimeMillis;
  }

  /** Takes which start the back end's entry says it is. */
  void updateEntry(BackendEntry entry) {
    startTimeMillis = entry.bornMillis();
    slots = Math.max(slots, entry.slots());
  }

  /** Something was heard of the back end or done with it. */
  void recordActivity(long nowMillis) {
    lastActiveMillis = Math.max(lastActiveMillis, nowMillis);
  }

  /** Whether no own request is there and nothing was heard or done since then. */
  boolean isIdleSince(long millis) {
    return ownInFlight == 0 && lastActiveMillis < millis;
  }

  /** A request was sent towards the back end. */
  void recordRequestStart() {
    ownInFlight++;
    outstanding++;
  }

  /** A request sent towards the back end has ended. */
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
        // The stated load says the rest, also how often it sheds work.
      }
    }
  }

  private void recordConnectionLoss(long nowMillis) {
    avoidUntilMillis = nowMillis + AVOID_UNREACHABLE_MILLIS;
    hasLoadReport = false;
  }

  /** Takes what the node beside the back end stated, unless something newer is known. */
  void updateLoad(long atMillis, GateLoad load) {
    if (atMillis < reportedAtMillis) {
      // Reports pass through other nodes; an answer of the gate may have overtaken one.
      return;
    }
    if (isDifferentStart(load.bornMillis())) {
      // The gate's figures are of an earlier start, or of one that this node has not heard of yet.
      return;
    }
    reportedAtMillis = atMillis;
    hasLoadReport = true;
    outstanding = load.running() + load.queued();
    slots = load.slots();
    serviceMillis = load.serviceMicros() / MICROS_PER_MILLI;
    slowdown.update(atMillis, load.slownessPercent() / (double) GateLoad.USUAL_PERCENT);
    failureRate = load.failurePercent() / (double) GateLoad.USUAL_PERCENT;
  }

  /**
   * Takes how long requests of a route take there.
   *
   * @param usualMicros the same at back ends of the service in general, microseconds
   */
  void updateRouteTime(String route, long micros, long usualMicros) {
    if (routeMillis.size() >= MAX_ROUTES) {
      routeMillis.clear();
    }
    routeMillis.put(route, micros / MICROS_PER_MILLI);
    double ratio = micros / (double) usualMicros;
    speedRatio += SPEED_SAMPLE_WEIGHT * (ratio - speedRatio);
  }

  /** Whether it was first seen so lately. */
  boolean isYoungerThan(long ageMillis, long nowMillis) {
    return nowMillis < firstSeenMillis + ageMillis;
  }

  boolean hasLoadReport() {
    return hasLoadReport;
  }

  /** Requests that run or wait there, as stated and carried on by own sends. */
  double outstanding() {
    return outstanding;
  }

  /** Requests of this node that run or wait there. */
  int ownInFlight() {
    return ownInFlight;
  }

  /** Requests that it works on at once. */
  int slots() {
    return slots;
  }

  /** Mean time that a request holds a slot, milliseconds; 0 if not known. */
  double serviceMillis() {
    return serviceMillis;
  }

  /** How long a request of the route takes there, milliseconds; null if not known. */
  Double routeMillis(String route) {
    return routeMillis.get(route);
  }

  /** How long its work takes against other back ends, over all routes; 1 as usual. */
  double speedRatio() {
    return speedRatio;
  }

  /** How long its work takes now against its usual time, as far as that is still believed. */
  double slowdown(long nowMillis) {
    return slowdown.factorAt(nowMillis);
  }

  /** Share of its answers that failed lately, 0 to 1. */
  double failureRate() {
    return hasLoadReport ? failureRate : 0;
  }

  /** For how much longer it is avoided, milliseconds. */
  double remainingAvoidMillis(long nowMillis) {
    return Math.max(0, avoidUntilMillis - nowMillis);
  }
}
