package io.umberpath.traffic.routing;

import io.umberpath.model.Verdict;
import io.umberpath.model.routing.BackendEntry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Chooses the backend with the least expected loss: the probability of a late response plus the
 * cost of cross-zone traffic. The expected response time is the wait reported by the node beside
 * the backend, adjusted by this node's own requests since then, plus the time of the work. The work
 * is estimated by the mean of the route at that backend, because the mean over all its requests
 * depends on which routes it happens to serve. Long bodies have to wait for the backend's link too.
 *
 * <p>The best of two random choices is taken if it is likely in time; only otherwise are all
 * candidates compared. Load reports are some tenths of a second old, and nodes that all compare the
 * same old reports send their requests to the same few backends. The owner synchronizes access.
 */
public final class LatencyAwareBalancer {
  /**
   * A chosen backend.
   *
   * @param backend the backend
   * @param toleratedWaitMillis queueing time at that backend beyond which another one is better;
   *     {@link #ANY_WAIT_MILLIS} if there is no other
   */
  public record Choice(BackendEntry backend, long toleratedWaitMillis) {}

  /** Tolerated wait if there is no other backend. */
  public static final long ANY_WAIT_MILLIS = Integer.MAX_VALUE;

  /**
   * Requirements of a request.
   *
   * @param route name of its route
   * @param targetMillis remaining time within which the response has its full value, milliseconds
   * @param otherZoneLoss cost of a response from another zone, as a share of its value
   * @param isUpload whether its body is sent only once the backend's node asks for it
   */
  public record RequestConstraints(
      String route, double targetMillis, double otherZoneLoss, boolean isUpload) {
    /**
     * Lower bound on the target, milliseconds: with none left every backend would look equally
     * late.
     */
    private static final double MIN_TARGET_MILLIS = 10;

    /** Creates the requirements of a request without a long body. */
    public RequestConstraints(String route, double targetMillis, double otherZoneLoss) {
      this(route, targetMillis, otherZoneLoss, false);
    }

    /** Raises a target that is too short or has passed to the lower bound. */
    public RequestConstraints {
      targetMillis = Math.max(MIN_TARGET_MILLIS, targetMillis);
    }

    /** Probability that a response is late whose expected time is {@code millis}. */
    private double lateProbability(double millis) {
      double ratio = millis / targetMillis;
      // The ratio to the power of LATENESS_STEEPNESS, without Math.pow: this runs for each
      // compared backend.
      double odds = ratio * ratio * ratio * ratio;
      return odds / (1 + odds);
    }

    /** The expected time at which {@link #lateProbability} has that value; its inverse. */
    private double millisAtLoss(double loss) {
      if (loss >= 1) {
        return ANY_WAIT_MILLIS;
      }
      double odds = Math.max(0, loss) / (1 - Math.max(0, loss));
      return targetMillis * Math.pow(odds, 1 / LATENESS_STEEPNESS);
    }
  }

  /** Steepness of the probability of a late response around the target. */
  private static final double LATENESS_STEEPNESS = 4;

  /** Random share of the expected time, so that nodes with equal statistics choose differently. */
  private static final double JITTER = 0.15;

  private final CandidateSampler sampler;
  private final DoubleSupplier random;
  private final BackendStatsTable statsTable = new BackendStatsTable();
  private final RouteAverages routeTimes = new RouteAverages(1);

  /**
   * Creates a balancer without statistics.
   *
   * @param zone zone of this node
   * @param random source of numbers from 0 to 1
   */
  public LatencyAwareBalancer(String zone, DoubleSupplier random) {
    this.sampler = new CandidateSampler(zone);
    this.random = random;
  }

  /**
   * Picks a backend.
   *
   * @param candidates backends of the service that accept new work
   * @param constraints requirements of the request
   * @param excluded ids not to pick
   * @param silent ids of backends whose node has not reported for too long; not picked
   */
  public Optional<Choice> pick(
      long nowMillis,
      List<BackendEntry> candidates,
      RequestConstraints constraints,
      Set<String> excluded,
      Set<String> silent) {
    Comparison comparison = new Comparison(nowMillis, candidates, constraints);
    List<BackendEntry> sample = sample(candidates, excluded, silent);
    List<BackendEntry> drawn = sampler.drawChoices(sample, random);
    Ranking drawnRanking = comparison.rank(drawn);
    if (drawn.size() == sample.size()
        || drawnRanking.isLikelyInTime() && sampler.isLocal(drawnRanking.best())) {
      return drawnRanking.best() == null
          ? Optional.empty()
          : Optional.of(comparison.toChoice(drawnRanking));
    }
    Ranking fullRanking = comparison.rank(sample);
    boolean leavesZoneAnyway =
        drawnRanking.isLikelyInTime() && !sampler.isLocal(fullRanking.best());
    return Optional.of(comparison.toChoice(leavesZoneAnyway ? drawnRanking : fullRanking));
  }

  /**
   * Result of a comparison.
   *
   * @param best the backend with the least loss; null if none was compared
   * @param loss that loss, as a share of the request's value
   * @param secondLoss the least loss of the others; {@link Double#MAX_VALUE} if there are none
   */
  private record Ranking(BackendEntry best, double loss, double secondLoss) {
    /** Loss from which a response is more likely late than in time. */
    private static final double LIKELY_LATE_LOSS = 0.5;

    boolean isLikelyInTime() {
      return loss < LIKELY_LATE_LOSS;
    }
  }

  /** Compares backends for one request. */
  private final class Comparison {
    private final long nowMillis;
    private final RequestConstraints constraints;
    private final ExpectedResponseTimes times;

    Comparison(long nowMillis, List<BackendEntry> candidates, RequestConstraints constraints) {
      this.nowMillis = nowMillis;
      this.constraints = constraints;
      this.times =
          new ExpectedResponseTimes(
              nowMillis, statsTable, candidates, constraints.route(), constraints.isUpload());
    }

    Ranking rank(List<BackendEntry> compared) {
      BackendEntry best = null;
      double bestLoss = Double.MAX_VALUE;
      double secondLoss = Double.MAX_VALUE;
      for (BackendEntry candidate : compared) {
        double loss = loss(candidate);
        if (loss < bestLoss) {
          best = candidate;
          secondLoss = bestLoss;
          bestLoss = loss;
        } else if (loss < secondLoss) {
          secondLoss = loss;
        }
      }
      return new Ranking(best, bestLoss, secondLoss);
    }

    private double loss(BackendEntry candidate) {
      double jitter = 1 + JITTER * random.getAsDouble();
      double expectedMillis = times.expectedMillis(nowMillis, candidate) * jitter;
      double inTimeProbability = 1 - constraints.lateProbability(expectedMillis);
      return 1 - inTimeProbability * (1 - times.failureLoss(candidate)) + zoneLoss(candidate);
    }

    private double zoneLoss(BackendEntry candidate) {
      return sampler.isLocal(candidate) ? 0 : constraints.otherZoneLoss();
    }

    Choice toChoice(Ranking ranking) {
      BackendEntry best = ranking.best();
      statsTable.find(best).recordRouteCheck(nowMillis, constraints.route());
      if (ranking.secondLoss() == Double.MAX_VALUE) {
        return new Choice(best, ANY_WAIT_MILLIS);
      }
      double unloadedMillis = times.unloadedMillis(nowMillis, statsTable.find(best));
      double limitMillis = constraints.millisAtLoss(ranking.secondLoss() - zoneLoss(best));
      return new Choice(best, Math.max(0, Math.round(limitMillis - unloadedMillis)));
    }
  }

  private List<BackendEntry> sample(
      List<BackendEntry> candidates, Set<String> excluded, Set<String> silent) {
    double start = CandidateSampler.comparesAll(candidates.size()) ? 0 : random.getAsDouble();
    return sampler.sample(
        candidates,
        candidate -> !excluded.contains(candidate.id()) && !silent.contains(candidate.id()),
        start);
  }

  /** Records that a request was sent to the backend. */
  public void started(long nowMillis, String id) {
    statsTable.getOrCreate(nowMillis, id).recordRequestStart(nowMillis);
  }

  /** Records that a request with a long body was sent to the backend. */
  public void startedUpload(long nowMillis, String id) {
    statsTable.getOrCreate(nowMillis, id).recordUploadStart(nowMillis);
  }

  /**
   * Records the end of a request that was sent to the backend.
   *
   * @param verdict its outcome
   */
  public void finished(long nowMillis, String id, Verdict verdict) {
    statsTable.getOrCreate(nowMillis, id).recordRequestEnd(nowMillis, verdict);
  }

  /**
   * Applies a load report from the node beside the backend.
   *
   * @param nowMillis when the report was made
   */
  public void updateLoad(long nowMillis, String id, BackendLoad load) {
    statsTable.getOrCreate(nowMillis, id).updateLoad(nowMillis, load);
  }

  /**
   * Updates the response time of a route at a backend.
   *
   * @param routeMicros mean response time there, microseconds; 0 if not known
   */
  public void updateRouteTime(long nowMillis, String id, String route, long routeMicros) {
    BackendStats stats = statsTable.find(id);
    if (stats == null || routeMicros <= 0) {
      return;
    }
    routeTimes.add(route, routeMicros);
    stats.updateRouteTime(nowMillis, route, routeMicros, routeTimes.average(route));
  }

  /**
   * Applies a limit on the request rate that a backend announced.
   *
   * @param waitMillis time until another request may start there
   * @param intervalMillis time between two starts at the full rate; 0 for no limit
   */
  public void updateRateLimit(long nowMillis, String id, double waitMillis, double intervalMillis) {
    statsTable.getOrCreate(nowMillis, id).updateRateLimit(nowMillis, waitMillis, intervalMillis);
  }

  /** Why fewer requests than usual are sent to a backend, or none. */
  public enum Avoidance {
    /** It was unreachable, or its node refused a request as draining or not ready. */
    REFUSING,
    /** Its announced rate allows no start now. */
    RATE_LIMITED,
    /** It fails more often than the other backends of its service. */
    FAILING,
    /** It is expected to take several times as long as the others. */
    SLOW
  }

  /** Returns the backends of a service that are avoided now, by id. */
  public Map<String, Avoidance> avoided(long nowMillis, List<BackendEntry> candidates) {
    double failureSum = 0;
    int known = 0;
    for (BackendEntry candidate : candidates) {
      BackendStats stats = statsTable.find(candidate);
      failureSum += stats == null ? 0 : stats.failureRate();
      known += stats == null ? 0 : 1;
    }
    Map<String, Avoidance> avoided = new HashMap<>();
    for (BackendEntry candidate : candidates) {
      BackendStats stats = statsTable.find(candidate);
      if (stats != null) {
        stats
            .avoidance(nowMillis, failureSum / known)
            .ifPresent(cause -> avoided.put(candidate.id(), cause));
      }
    }
    return avoided;
  }

  /** Removes backends that have been inactive for too long. */
  public void removeExpired(long nowMillis) {
    statsTable.removeExpired(nowMillis);
  }
}
