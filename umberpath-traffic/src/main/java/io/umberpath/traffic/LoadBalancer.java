package io.umberpath.traffic;

import io.umberpath.model.ObservedBackend;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Tier;
import io.umberpath.model.Verdict;
import io.vavr.control.Either;
import java.util.List;
import java.util.Set;

/** Chooses the backend of each attempt at an edge proxy. The owner synchronizes access. */
public interface LoadBalancer {
  /**
   * Picks a backend for a request of the pool's own tier.
   *
   * @param nowMillis monotonic clock, milliseconds
   * @param pool the pool in the request's snapshot
   * @param spread any number that differs between requests, to break ties
   * @param excluded ids already tried by this request
   * @return the choice; or {@code NO_BACKEND} if no untried backend is in service, {@code
   *     OVERLOADED} if all of them are backing off
   */
  Either<Verdict.Reason, ProxySnapshot.BackendView> pick(
      long nowMillis, ProxySnapshot.PoolView pool, long spread, Set<String> excluded);

  /**
   * Picks a backend for a request of a tier. The default ignores the tier.
   *
   * @param tier tier of the route; backends that only shed lower tiers remain available to it
   * @see #pick(long, ProxySnapshot.PoolView, long, Set)
   */
  default Either<Verdict.Reason, ProxySnapshot.BackendView> pick(
      long nowMillis, ProxySnapshot.PoolView pool, Tier tier, long spread, Set<String> excluded) {
    return pick(nowMillis, pool, spread, excluded);
  }

  /**
   * Time until a backend of the pool accepts requests of the tier again, milliseconds; 0 if one
   * does now, if none is in service, or by default.
   */
  default long retryAfterMillis(long nowMillis, ProxySnapshot.PoolView pool, Tier tier) {
    return 0;
  }

  /** Records that an attempt was sent to a backend. */
  void started(long nowMillis, String backendId);

  /** Records the end of an attempt; call it once for each {@link #started}. */
  void finished(long nowMillis, String backendId, Verdict verdict, long latencyMicros);

  /**
   * Backs off from a backend whose refusal carried a retry-after; call it in addition to {@link
   * #finished}. Requests of this tier and lower ones avoid the backend for that time. The default
   * ignores it.
   *
   * @param retryAfterMillis time from now, milliseconds
   */
  default void backOff(long nowMillis, String backendId, Tier tier, long retryAfterMillis) {}

  /** Applies reports of the nodes beside the backends. */
  void updateReports(long nowMillis, List<ObservedBackend> backends);

  /**
   * Sets the number of edge proxies that share the backends; it determines the size of this proxy's
   * subset of a pool. The default ignores it.
   *
   * @param edges at least 1
   */
  default void setEdgeCount(int edges) {}
}
