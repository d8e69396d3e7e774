package io.umberpath.traffic;

import io.umberpath.model.ObservedBackend;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Tier;
import io.umberpath.model.Verdict;
import io.vavr.control.Either;
import java.util.List;
import java.util.Set;

/** Chooses the back end of one attempt at an edge proxy. Owner synchronizes. */
public interface LoadBalancer {
  /**
   * Picks a back end for a request of the pool's own tier.
   *
   * @param nowMillis rising clock, milliseconds
   * @param pool the pool of the request's snapshot
   * @param spread any number that differs from request to request, for spreading ties
   * @param excluded ids already tried by this request
   * @return the choice; or {@code NO_BACKEND} if none is in service and untried, {@code OVERLOADED}
   *     if all such asked to be left alone for a while
   */
  Either<Verdict.Reason, ProxySnapshot.BackendView> pick(
      long nowMillis, ProxySnapshot.PoolView pool, long spread, Set<String> excluded);

  /**
   * Picks a back end for a request of a tier. The default ignores the tier.
   *
   * @param tier tier of the route; back ends that shed lower tiers only are still open to it
   * @see #pick(long, ProxySnapshot.PoolView, long, Set)
   */
  default Either<Verdict.Reason, ProxySnapshot.BackendView> pick(
      long nowMillis, ProxySnapshot.PoolView pool, Tier tier, long spread, Set<String> excluded) {
    return pick(nowMillis, pool, spread, excluded);
  }

  /**
   * Time until some back end of the pool takes requests of the tier again, milliseconds; 0 if one
   * does now, if none is in service, or by default.
   */
  default long retryAfterMillis(long nowMillis, ProxySnapshot.PoolView pool, Tier tier) {
    return 0;
  }

  /** An attempt was sent to a back end. */
  void started(long nowMillis, String backendId);

  /** An attempt ended; call it once for each {@link #started}. */
  void finished(long nowMillis, String backendId, Verdict verdict, long latencyMicros);

  /**
   * The refusal of an attempt named a time to stay away; call it besides {@link #finished}.
   * Requests of this tier and lower ones leave the back end alone for that time. The default
   * ignores it.
   *
   * @param retryAfterMillis time from now, milliseconds
   */
  default void shed(long nowMillis, String backendId, Tier tier, long retryAfterMillis) {}

  /** Statements of the nodes beside the back ends. */
  void observed(long nowMillis, List<ObservedBackend> backends);

  /**
   * The number of edge proxies that share the back ends has changed; it decides the size of the
   * subset of a pool that this one uses. The default ignores it.
   *
   * @param edges at least 1
   */
  default void edgeCount(int edges) {}
}
