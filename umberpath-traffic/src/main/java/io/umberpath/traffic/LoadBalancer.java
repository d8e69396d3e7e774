package io.umberpath.traffic;

import io.umberpath.model.ObservedBackend;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Verdict;
import io.vavr.control.Either;
import java.util.List;
import java.util.Set;

/** Chooses the back end of one attempt at an edge proxy. Owner synchronizes. */
public interface LoadBalancer {
  /**
   * Picks a back end.
   *
   * @param nowMillis rising clock, milliseconds
   * @param pool the pool of the request's snapshot
   * @param spread any number that differs from request to request, for spreading ties
   * @param excluded ids already tried by this request
   * @return the choice, or why there is none
   */
  Either<Verdict.Reason, ProxySnapshot.BackendView> pick(
      long nowMillis, ProxySnapshot.PoolView pool, long spread, Set<String> excluded);

  /** An attempt was sent to a back end. */
  void started(long nowMillis, String backendId);

  /** An attempt ended. */
  void finished(long nowMillis, String backendId, Verdict verdict, long latencyMicros);

  /** Statements of the nodes beside the back ends. */
  void observed(long nowMillis, List<ObservedBackend> backends);
}
