package io.umberpath.traffic;

import io.umberpath.model.ObservedBackend;
import io.umberpath.model.ProxySnapshot.BackendView;
import io.umberpath.model.ProxySnapshot.PoolView;
import io.umberpath.model.Tier;
import io.umberpath.model.Verdict;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Power-of-choices load balancer: compares a few backends by expected load; design note 0005. The
 * owner synchronizes access.
 */
final class LeastLoadBalancer implements LoadBalancer {
  private static final long EXPIRY_MILLIS = 600_000;
  private static final long EXPIRY_CHECK_MILLIS = 10_000;
  private static final int MAX_ORDERED_POOLS = 1_024;
  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

  /** A backend and its state. */
  private record Candidate(BackendView view, BackendState state) {}

  /** The backends of a pool in this edge proxy's order of preference. */
  private record OrderedPool(PoolView view, List<BackendView> order) {}

  private final BalancerSettings settings;
  private final Map<String, BackendState> states = new HashMap<>();
  private final Map<String, OrderedPool> pools = new HashMap<>();
  private int edgeCount = 1;
  private long firstUseMillis = -1;
  private long nextExpiryCheckMillis;

  LeastLoadBalancer(BalancerSettings settings) {
    this.settings = settings;
  }

  @Override
  public Either<Verdict.Reason, BackendView> pick(
      long nowMillis, PoolView pool, long spread, Set<String> excluded) {
    return pick(nowMillis, pool, pool.pool().tier(), spread, excluded);
  }

  @Override
  public Either<Verdict.Reason, BackendView> pick(
      long nowMillis, PoolView pool, Tier tier, long spread, Set<String> excluded) {
    List<Candidate> inService = withoutEjected(nowMillis, candidatesInService(nowMillis, pool));
    List<Candidate> local = new ArrayList<>();
    List<Candidate> remote = new ArrayList<>();
    boolean isShedding = false;
    for (Candidate candidate : inService) {
      if (excluded.contains(candidate.view.address().id())) {
        continue;
      }
      if (candidate.state.remainingBackOffMillis(nowMillis, tier) > 0) {
        isShedding = true;
      } else if (candidate.view.address().zone().equals(settings.zone())) {
        local.add(candidate);
      } else {
        remote.add(candidate);
      }
    }
    if (local.isEmpty() && remote.isEmpty()) {
      return Either.left(isShedding ? Verdict.Reason.OVERLOADED : Verdict.Reason.NO_BACKEND);
    }
    Scoring scoring = new Scoring(nowMillis, pool.pool().slotsPerBackend(), inService);
    return Either.right(choose(local, remote, scoring, spread));
  }

  private BackendView choose(
      List<Candidate> local, List<Candidate> remote, Scoring scoring, long spread) {
    Candidate bestLocal = leastLoaded(local, scoring, spread);
    double bestLocalLoad = bestLocal == null ? Double.POSITIVE_INFINITY : scoring.load(bestLocal);
    if (bestLocalLoad < settings.spillOverLoad() || remote.isEmpty()) {
      return bestLocal.view;
    }
    Candidate bestRemote = leastLoaded(remote, scoring, spread + 1);
    boolean spillOver =
        scoring.load(bestRemote) + settings.remotePenaltySlots() / scoring.slots < bestLocalLoad;
    return spillOver ? bestRemote.view : bestLocal.view;
  }

  /**
   * The least loaded of a few candidates, selected by the spread number; null if there are none.
   */
  private Candidate leastLoaded(List<Candidate> candidates, Scoring scoring, long spread) {
    Candidate least = null;
    double leastLoad = 0;
    int choices = Math.min(settings.choices(), candidates.size());
    for (int i = 0; i < choices; i++) {
      long random = SpreadHash.mix(spread + (i + 1) * GOLDEN_GAMMA);
      int index = i + (int) Long.remainderUnsigned(random, candidates.size() - i);
      Candidate candidate = candidates.set(index, candidates.get(i));
      candidates.set(i, candidate);
      double load = scoring.load(candidate);
      if (least == null || load < leastLoad) {
        least = candidate;
        leastLoad = load;
      }
    }
    return least;
  }

  @Override
  public long retryAfterMillis(long nowMillis, PoolView pool, Tier tier) {
    long least = Long.MAX_VALUE;
    for (Candidate candidate : candidatesInService(nowMillis, pool)) {
      least = Math.min(least, candidate.state.remainingBackOffMillis(nowMillis, tier));
    }
    return least == Long.MAX_VALUE ? 0 : least;
  }

  /** The first backends in this proxy's order that accept work, up to the size of its subset. */
  private List<Candidate> candidatesInService(long nowMillis, PoolView pool) {
    if (firstUseMillis < 0) {
      firstUseMillis = nowMillis;
    }
    List<BackendView> order = order(pool);
    int size =
        Subsetting.size(
            edgeCount, order.size(), settings.connectionsPerEdge(), settings.connectionLimit());
    List<Candidate> candidates = new ArrayList<>(size);
    for (BackendView backend : order) {
      if (candidates.size() == size) {
        break;
      }
      BackendState state = state(nowMillis, backend.address().id());
      if (!backend.drained() && state.isInService(nowMillis)) {
        candidates.add(new Candidate(backend, state));
      }
    }
    return candidates;
  }

  private List<BackendView> order(PoolView pool) {
    OrderedPool cached = pools.get(pool.pool().name());
    if (cached == null || cached.view != pool) {
      cached =
          new OrderedPool(
              pool,
              Subsetting.order(settings.edgeId(), pool.backends(), view -> view.address().id()));
      if (pools.size() >= MAX_ORDERED_POOLS) {
        pools.clear();
      }
      pools.put(pool.pool().name(), cached);
    }
    return cached.order;
  }

  /** Excludes ejected backends but keeps at least half of all candidates. */
  private static List<Candidate> withoutEjected(long nowMillis, List<Candidate> inService) {
    List<Candidate> kept = new ArrayList<>(inService.size());
    List<Candidate> ejected = new ArrayList<>();
    for (Candidate candidate : inService) {
      (candidate.state.isEjected(nowMillis) ? ejected : kept).add(candidate);
    }
    if (ejected.isEmpty()) {
      return inService;
    }
    ejected.sort(
        (one, other) ->
            Long.compare(one.state.ejectedUntilMillis(), other.state.ejectedUntilMillis()));
    for (Candidate soonest : ejected) {
      if (2 * kept.size() < inService.size()) {
        kept.add(soonest);
      }
    }
    return kept;
  }

  @Override
  public void started(long nowMillis, String backendId) {
    state(nowMillis, backendId).recordAttemptStart(nowMillis);
  }

  @Override
  public void finished(long nowMillis, String backendId, Verdict verdict, long latencyMicros) {
    state(nowMillis, backendId).recordAttemptEnd(nowMillis, verdict, latencyMicros);
  }

  @Override
  public void backOff(long nowMillis, String backendId, Tier tier, long retryAfterMillis) {
    state(nowMillis, backendId).backOff(nowMillis, tier, retryAfterMillis);
  }

  @Override
  public void updateReports(long nowMillis, List<ObservedBackend> backends) {
    for (ObservedBackend backend : backends) {
      state(nowMillis, backend.backendId()).updateReport(nowMillis, backend);
    }
    if (nowMillis >= nextExpiryCheckMillis) {
      nextExpiryCheckMillis = nowMillis + EXPIRY_CHECK_MILLIS;
      states.values().removeIf(state -> state.isIdleSince(nowMillis - EXPIRY_MILLIS));
    }
  }

  @Override
  public void setEdgeCount(int newEdgeCount) {
    SettingChecks.requireAtLeast("edges", newEdgeCount, 1);
    edgeCount = newEdgeCount;
  }

  /**
   * Returns the state of a backend; one that appears after this proxy's own start is new and gets a
   * slow start.
   */
  private BackendState state(long nowMillis, String id) {
    BackendState known = states.get(id);
    if (known == null) {
      boolean isNew =
          firstUseMillis >= 0 && nowMillis - firstUseMillis > settings.slowStartMillis();
      known = new BackendState(settings, nowMillis, isNew);
      states.put(id, known);
    }
    return known;
  }

  /** Loads of candidates relative to the means of their pool at one time. */
  private static final class Scoring {
    private final long nowMillis;
    private final int slots;
    private final double meanUsedByOthers;
    private final double meanLatencyMicros;

    Scoring(long nowMillis, int slots, List<Candidate> candidates) {
      this.nowMillis = nowMillis;
      this.slots = slots;
      double weights = 0;
      double others = 0;
      int measured = 0;
      double latency = 0;
      for (Candidate candidate : candidates) {
        double weight = candidate.state.reportWeight(nowMillis);
        weights += weight;
        others += weight * candidate.state.slotsUsedByOthers();
        latency += candidate.state.latencyMicros();
        measured += candidate.state.latencyMicros() > 0 ? 1 : 0;
      }
      meanUsedByOthers = weights == 0 ? 0 : others / weights;
      meanLatencyMicros = measured < 2 ? 0 : latency / measured;
    }

    double load(Candidate candidate) {
      return candidate.state.load(nowMillis, slots, meanUsedByOthers, meanLatencyMicros);
    }
  }
}
