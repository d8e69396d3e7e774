package io.umberpath.traffic.routing;

import io.umberpath.model.Verdict;
import io.umberpath.model.routing.BackendEntry;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Chooses among the back ends of a service by least expected loss: how likely an answer from there
 * is late, and what its bytes cost in another zone. The expected time to an answer is the wait that
 * the gate beside each stated, carried on by this node's own sends since, and the time its work
 * takes there. That is the route's own mean at that back end: the mean of all that a back end does
 * depends on which routes it happens to serve.
 *
 * <p>The best of two drawn at random is taken if it is likely in time, and all are compared only
 * else: what is known of back ends is some tenths of a second old, and all nodes that compare the
 * same old figures send what they have to the same few. Owner synchronizes.
 */
public final class GateBalancer {
  /**
   * A choice.
   *
   * @param backend the back end
   * @param toleratedWaitMillis wait there beyond which another one is better; {@link
   *     #ANY_WAIT_MILLIS} if there is no other
   */
  public record Choice(BackendEntry backend, long toleratedWaitMillis) {}

  /** Tolerated wait where nothing else is left. */
  public static final long ANY_WAIT_MILLIS = Integer.MAX_VALUE;

  /**
   * What a request needs.
   *
   * @param route name of its route
   * @param targetMillis time left within which its answer has full worth, milliseconds
   * @param otherZoneLoss what an answer from another zone costs, as a share of its worth
   */
  public record RequestConstraints(String route, double targetMillis, double otherZoneLoss) {
    /** Shortest time that is reckoned with, milliseconds: none is hopeless everywhere. */
    private static final double MIN_TARGET_MILLIS = 10;

    /** Takes a target that has passed for a short one. */
    public RequestConstraints {
      targetMillis = Math.max(MIN_TARGET_MILLIS, targetMillis);
    }

    /** Share of the worth that an answer expected after so long is likely to lose. */
    private double lateProbability(double millis) {
      double ratio = millis / targetMillis;
      // To the power of LATENESS_STEEPNESS; worked out for each back end that is compared.
      double odds = ratio * ratio * ratio * ratio;
      return odds / (1 + odds);
    }

    /** The expected time that makes for such a loss; the reverse of {@link #lateProbability}. */
    private double millisAtLoss(double loss) {
      if (loss >= 1) {
        return ANY_WAIT_MILLIS;
      }
      double odds = Math.max(0, loss) / (1 - Math.max(0, loss));
      return targetMillis * Math.pow(odds, 1 / LATENESS_STEEPNESS);
    }
  }

  /** How steeply the likelihood of a late answer rises around the target. */
  private static final double LATENESS_STEEPNESS = 4;

  /** Share of the expected time that is drawn at random, so that nodes with equal views part. */
  private static final double JITTER = 0.15;

  private final CandidateSampler sampler;
  private final DoubleSupplier random;
  private final BackendStatsTable statsTable = new BackendStatsTable();
  private final RouteMeans routeTimes = new RouteMeans(1);

  /**
   * Creates one that knows nothing.
   *
   * @param zone zone of this node
   * @param random numbers from 0 to 1
   */
  public GateBalancer(String zone, DoubleSupplier random) {
    this.sampler = new CandidateSampler(zone);
    this.random = random;
  }

  /**
   * Picks a back end.
   *
   * @param candidates those of the service that take new work
   * @param constraints what the request needs
   * @param excluded ids not to pick
   * @param silent ids whose node has not been heard of for too long; picked only if nothing else is
   *     left
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
   * What a comparison found.
   *
   * @param best the back end of least loss; null if none was compared
   * @param loss that loss, as a share of the request's worth
   * @param secondLoss the least loss of the others; {@link Double#MAX_VALUE} if there are none
   */
  private record Ranking(BackendEntry best, double loss, double secondLoss) {
    /** Loss from which on an answer is more likely late than in time. */
    private static final double LIKELY_LATE_LOSS = 0.5;

    boolean isLikelyInTime() {
      return loss < LIKELY_LATE_LOSS;
    }
  }

  /** Compares back ends for one request. */
  private final class Comparison {
    private final long nowMillis;
    private final RequestConstraints constraints;
    private final ExpectedResponseTimes times;

    Comparison(long nowMillis, List<BackendEntry> candidates, RequestConstraints constraints) {
      this.nowMillis = nowMillis;
      this.constraints = constraints;
      this.times = new ExpectedResponseTimes(statsTable, candidates, constraints.route());
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
      if (ranking.secondLoss() == Double.MAX_VALUE) {
        return new Choice(best, ANY_WAIT_MILLIS);
      }
      double workMillis = times.workMillis(nowMillis, statsTable.find(best));
      double limitMillis = constraints.millisAtLoss(ranking.secondLoss() - zoneLoss(best));
      return new Choice(best, Math.max(0, Math.round(limitMillis - workMillis)));
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

  /** A request was sent towards the back end. */
  public void started(long nowMillis, String id) {
    statsTable.getOrCreate(nowMillis, id).recordRequestStart();
  }

  /**
   * A request sent towards the back end has ended.
   *
   * @param verdict how
   */
  public void finished(long nowMillis, String id, Verdict verdict) {
    statsTable.getOrCreate(nowMillis, id).recordRequestEnd(nowMillis, verdict);
  }

  /**
   * Takes what the node beside the back end stated.
   *
   * @param nowMillis when it did
   */
  public void stated(long nowMillis, String id, GateLoad load) {
    statsTable.getOrCreate(nowMillis, id).updateLoad(nowMillis, load);
  }

  /**
   * Takes how long requests of a route take at a back end.
   *
   * @param routeMicros their mean time there, microseconds; 0 if not known
   */
  public void answered(String id, String route, long routeMicros) {
    BackendStats stats = statsTable.find(id);
    if (stats == null || routeMicros <= 0) {
      return;
    }
    routeTimes.add(route, routeMicros);
    stats.updateRouteTime(route, routeMicros, routeTimes.expected(route));
  }

  /** Forgets back ends of which nothing has been heard for long. */
  public void forget(long nowMillis) {
    statsTable.removeExpired(nowMillis);
  }
}
