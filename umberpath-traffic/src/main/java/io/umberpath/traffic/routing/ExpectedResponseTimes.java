package io.umberpath.traffic.routing;

import io.umberpath.model.routing.BackendEntry;
import io.umberpath.traffic.outlier.FailureRateOutlier;
import java.util.List;

/**
 * Expected response times of one route at the backends of a service: the transfer of a long body,
 * the wait for a slot, or for the start that a rate limit allows, plus the work. Unknown values of
 * a backend are replaced by the mean of the others.
 */
final class ExpectedResponseTimes {
  private static final double DEFAULT_SERVICE_MILLIS = 60;
  private static final double WARM_UP_FACTOR = 2;

  /** Weight of the utilization of a backend that still has a free slot. */
  private static final double UTILIZATION_WEIGHT = 0.4;

  private final BackendStatsTable statsTable;
  private final String route;
  private final boolean isUpload;
  private final double meanServiceMillis;
  private final double meanRouteMillis;
  private final double meanBodyMillis;
  private final double meanOutstanding;
  private final double meanFailureRate;

  /**
   * Computes the means over the candidates.
   *
   * @param nowMillis time for which the means are computed
   * @param route the request's route
   * @param isUpload whether the request has a long body
   */
  ExpectedResponseTimes(
      long nowMillis,
      BackendStatsTable statsTable,
      List<BackendEntry> candidates,
      String route,
      boolean isUpload) {
    this.statsTable = statsTable;
    this.route = route;
    this.isUpload = isUpload;
    Average service = new Average();
    Average routeTime = new Average();
    Average body = new Average();
    Average outstanding = new Average();
    Average failures = new Average();
    for (BackendEntry candidate : candidates) {
      BackendStats stats = statsTable.find(candidate);
      if (stats == null) {
        continue;
      }
      if (stats.serviceMillis() > 0) {
        service.add(stats.serviceMillis());
      }
      if (stats.hasLoadReport()) {
        outstanding.add(stats.outstanding());
        failures.add(stats.failureRate());
      }
      if (stats.bodyMillis() > 0) {
        body.add(stats.bodyMillis());
      }
      if (stats.routeMillis(route) != null) {
        routeTime.add(stats.routeMillis(route), stats.routeTrust(nowMillis, route));
      }
    }
    meanServiceMillis = service.orElse(DEFAULT_SERVICE_MILLIS);
    meanRouteMillis = routeTime.orElse(meanServiceMillis);
    meanBodyMillis = body.orElse(0);
    meanOutstanding = outstanding.orElse(0);
    meanFailureRate = failures.orElse(0);
  }

  /** Expected response time of a backend, milliseconds. */
  double expectedMillis(long nowMillis, BackendEntry candidate) {
    BackendStats stats = statsTable.getOrCreate(nowMillis, candidate);
    double workMillis = workMillis(nowMillis, stats);
    if (stats.isYoungerThan(candidate.warmupMillis(), nowMillis)) {
      workMillis = Math.max(workMillis, WARM_UP_FACTOR * meanRouteMillis);
    }
    double serviceMillis = stats.serviceMillis() > 0 ? stats.serviceMillis() : meanServiceMillis;
    double outstanding = outstanding(stats);
    double requestsAhead = Math.max(0, outstanding + 1 - stats.slots());
    double slotWaitMillis =
        requestsAhead * serviceMillis * stats.slowdown(nowMillis) / stats.slots();
    double waitMillis = Math.max(slotWaitMillis, stats.startWaitMillis(nowMillis));
    double utilizationMillis =
        UTILIZATION_WEIGHT * workMillis * Math.min(1, outstanding / stats.slots());
    return transferMillis(nowMillis, stats)
        + workMillis
        + waitMillis
        + utilizationMillis
        + stats.remainingAvoidMillis(nowMillis);
  }

  /**
   * Expected time until the backend's node has received the body, milliseconds. The transfer itself
   * is taken to be the same everywhere: a link that was slow gets bodies again once it is idle,
   * which is how its recovery shows.
   */
  private double transferMillis(long nowMillis, BackendStats stats) {
    return isUpload ? stats.linkWaitMillis(nowMillis) + meanBodyMillis : 0;
  }

  /** Expected time that the request takes at a backend that has nothing else to do. */
  double unloadedMillis(long nowMillis, BackendStats stats) {
    return workMillis(nowMillis, stats) + (isUpload ? meanBodyMillis : 0);
  }

  /**
   * Requests that run or wait at a backend. Without a load report the mean of the others is
   * assumed: otherwise all nodes would send all their requests to a backend that has just come
   * back.
   */
  private double outstanding(BackendStats stats) {
    return stats.hasLoadReport()
        ? Math.max(stats.outstanding(), stats.ownInFlight())
        : meanOutstanding + stats.ownInFlight();
  }

  /** Expected time that the backend works on the request once it has a slot, milliseconds. */
  private double workMillis(long nowMillis, BackendStats stats) {
    double unmeasured = meanRouteMillis * stats.speedRatio(nowMillis);
    Double known = stats.routeMillis(route);
    double usual =
        known == null
            ? unmeasured
            : unmeasured + (known - unmeasured) * stats.routeTrust(nowMillis, route);
    return usual * stats.slowdown(nowMillis);
  }

  /**
   * Share of the request's value that is lost because this backend fails more often than the
   * others.
   */
  double failureLoss(BackendEntry candidate) {
    double failureRate = statsTable.find(candidate).failureRate();
    return failureRate == 0
        ? 0
        : FailureRateOutlier.excessLoss(
            new FailureRateOutlier.FailureRates(failureRate, meanFailureRate));
  }

  private static final class Average {
    private double sum;
    private double weights;

    void add(double value) {
      add(value, 1);
    }

    void add(double value, double weight) {
      sum += weight * value;
      weights += weight;
    }

    double orElse(double defaultValue) {
      return weights == 0 ? defaultValue : sum / weights;
    }
  }
}
