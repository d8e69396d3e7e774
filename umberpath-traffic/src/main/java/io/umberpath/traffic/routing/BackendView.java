package io.umberpath.traffic.routing;

import io.umberpath.model.Verdict;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.BackendStart;
import io.umberpath.traffic.load.AgingSlowness;
import java.util.HashMap;
import java.util.Map;

/** What a node knows of one start of a back end. Owner synchronizes. */
final class BackendView {
  private static final double MICROS_PER_MILLI = 1_000;

  /** Routes remembered of one back end. */
  private static final int MAX_ROUTES = 1_024;

  /** Weight of one answer in how fast a back end is taken to be. */
  private static final double RATIO_SAMPLE_WEIGHT = 0.2;

  private static final long UNREACHABLE_MILLIS = 300;
  private static final long REFUSED_MILLIS = 1_000;

  private final long firstSeenMillis;

  /** The start that it is of, once its entry or its node has told. */
  private long bornMillis = BackendStart.UNKNOWN_BORN_MILLIS;

  private boolean isStated;
  private long statedMillis = Long.MIN_VALUE;
  private double outstanding;
  private int own;
  private int slots = 1;
  private double serviceMillis;
  private final Map<String, Double> routeMillis = new HashMap<>();
  private double speedRatio = 1;
  private final AgingSlowness slowness = new AgingSlowness();
  private double failureShare;
  private long avoidUntilMillis;
  private long touchedMillis;

  /** Begins the view of a back end that was not known. */
  BackendView(long nowMillis) {
    firstSeenMillis = nowMillis;
    touchedMillis = nowMillis;
  }

  /**
   * Begins the view of a new start of a back end. What was stated or reported before this node
   * heard of the start is of the earlier one.
   */
  static BackendView ofNewStart(long nowMillis) {
    BackendView view = new BackendView(nowMillis);
    view.statedMillis = nowMillis;
    return view;
  }

  /** Whether both starts are told, and differ. */
  boolean isOfOtherStartThan(long otherBornMillis) {
    return bornMillis != BackendStart.UNKNOWN_BORN_MILLIS
        && otherBornMillis != BackendStart.UNKNOWN_BORN_MILLIS
        && bornMillis != otherBornMillis;
  }

  /** Takes which start the back end's entry says it is. */
  void listed(BackendEntry entry) {
    bornMillis = entry.bornMillis();
    slots = Math.max(slots, entry.slots());
  }

  /** Something was heard of the back end or done with it. */
  void touched(long nowMillis) {
    touchedMillis = Math.max(touchedMillis, nowMillis);
  }

  /** Whether no own request is there and nothing was heard or done since then. */
  boolean isUnusedSince(long millis) {
    return own == 0 && touchedMillis < millis;
  }

  /** A request was sent towards the back end. */
  void started() {
    own++;
    outstanding++;
  }

  /** A request sent towards the back end has ended. */
  void finished(long nowMillis, Verdict verdict) {
    own = Math.max(0, own - 1);
    outstanding = Math.max(0, outstanding - 1);
    if (verdict instanceof Verdict.NotRun notRun) {
      refused(nowMillis, notRun.reason());
    } else if (verdict instanceof Verdict.MayHaveRun mayHaveRun
        && mayHaveRun.reason() == Verdict.Reason.CONNECTION_LOST) {
      lost(nowMillis);
    }
  }

  private void refused(long nowMillis, Verdict.Reason reason) {
    switch (reason) {
      case UNREACHABLE -> lost(nowMillis);
      case DRAINING, NOT_READY, UNREADABLE -> avoidUntilMillis = nowMillis + REFUSED_MILLIS;
      default -> {
        // The stated load says the rest, also how often it sheds work.
      }
    }
  }

  private void lost(long nowMillis) {
    avoidUntilMillis = nowMillis + UNREACHABLE_MILLIS;
    isStated = false;
  }

  /** Takes what the node beside the back end stated, unless something newer is known. */
  void stated(long atMillis, GateLoad load) {
    if (atMillis < statedMillis) {
      // Reports pass through other nodes; an answer of the gate may have overtaken one.
      return;
    }
    if (isOfOtherStartThan(load.bornMillis())) {
      // The gate's figures are of an earlier start, or of one that this node has not heard of yet.
      return;
    }
    statedMillis = atMillis;
    isStated = true;
    outstanding = load.running() + load.queued();
    slots = load.slots();
    serviceMillis = load.serviceMicros() / MICROS_PER_MILLI;
    slowness.stated(atMillis, load.slownessPercent() / (double) GateLoad.USUAL_PERCENT);
    failureShare = load.failurePercent() / (double) GateLoad.USUAL_PERCENT;
  }

  /**
   * Takes how long requests of a route take there.
   *
   * @param usualMicros the same at back ends of the service in general, microseconds
   */
  void answered(String route, long micros, long usualMicros) {
    if (routeMillis.size() >= MAX_ROUTES) {
      routeMillis.clear();
    }
    routeMillis.put(route, micros / MICROS_PER_MILLI);
    double ratio = micros / (double) usualMicros;
    speedRatio += RATIO_SAMPLE_WEIGHT * (ratio - speedRatio);
  }

  /** Whether it was first seen so lately. */
  boolean isYoungerThan(long ageMillis, long nowMillis) {
    return nowMillis < firstSeenMillis + ageMillis;
  }

  boolean isStated() {
    return isStated;
  }

  /** Requests that run or wait there, as stated and carried on by own sends. */
  double outstanding() {
    return outstanding;
  }

  /** Requests of this node that run or wait there. */
  int own() {
    return own;
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
  double slowness(long nowMillis) {
    return slowness.at(nowMillis);
  }

  /** Share of its answers that failed lately, 0 to 1. */
  double failureShare() {
    return isStated ? failureShare : 0;
  }

  /** For how much longer it is avoided, milliseconds. */
  double avoidedMillis(long nowMillis) {
    return Math.max(0, avoidUntilMillis - nowMillis);
  }
}
