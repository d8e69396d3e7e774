package io.umberpath.node.proxy;

import io.umberpath.model.ObservedBackend;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Verdict;
import io.umberpath.traffic.LoadBalancer;
import io.vavr.control.Either;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Picks the back end with the fewest requests of this proxy in flight. */
final class LeastInFlight implements LoadBalancer {
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final Map<String, ObservedBackend.Phase> phases = new HashMap<>();

  @Override
  public Either<Verdict.Reason, ProxySnapshot.BackendView> pick(
      long nowMillis, ProxySnapshot.PoolView pool, long spread, Set<String> excluded) {
    return pool.backends().stream()
        .filter(backend -> !backend.drained() && !excluded.contains(backend.address().id()))
        .filter(backend -> takesWork(backend.address().id()))
        .min(Comparator.comparingInt(backend -> inFlight.getOrDefault(backend.address().id(), 0)))
        .<Either<Verdict.Reason, ProxySnapshot.BackendView>>map(Either::right)
        .orElse(Either.left(Verdict.Reason.NO_BACKEND));
  }

  private boolean takesWork(String id) {
    ObservedBackend.Phase phase = phases.get(id);
    return phase != ObservedBackend.Phase.DRAINING && phase != ObservedBackend.Phase.DOWN;
  }

  @Override
  public void started(long nowMillis, String backendId) {
    inFlight.merge(backendId, 1, Integer::sum);
  }

  @Override
  public void finished(long nowMillis, String backendId, Verdict verdict, long latencyMicros) {
    inFlight.computeIfPresent(backendId, (id, count) -> count > 1 ? count - 1 : null);
  }

  @Override
  public void observed(long nowMillis, List<ObservedBackend> backends) {
    phases.clear();
    backends.forEach(backend -> phases.put(backend.backendId(), backend.phase()));
  }
}
