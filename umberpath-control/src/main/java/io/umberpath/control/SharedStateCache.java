package io.umberpath.control;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.umberpath.model.FleetState;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.ReferenceCheck;
import io.umberpath.model.Roster;
import io.umberpath.model.StateDelta;
import io.umberpath.model.StateDeltas;
import io.umberpath.model.Violation;
import io.vavr.control.Either;
import java.util.List;
import java.util.function.Function;

/**
 * Caches results of pure functions by the identity of their arguments, so that nodes emulated in
 * one process share states, rosters and snapshots instead of computing equal ones thousands of
 * times. Thread-safe and bounded.
 */
public final class SharedStateCache {
  private static final int SINGLE_NODE_CAPACITY = 4;

  private final Cache<StateDelta, Applied> applied;
  private final Cache<FleetState, StateDelta> fullStates;
  private final Cache<FleetState, Composed> composed;
  private final Cache<Roster, RosterView> views;
  private final Cache<PlatformDocument, Long> hashes;
  private final Cache<ControlMessage.DocumentDelta, Patched> patched;
  private final Cache<PlatformDocument, Difference> differences;

  /** Creates a cache for the only node of a process. */
  public SharedStateCache() {
    this(SINGLE_NODE_CAPACITY);
  }

  /**
   * Creates a cache for emulated nodes.
   *
   * @param capacity number of results of each kind to cache, at least 1
   */
  public SharedStateCache(int capacity) {
    applied = cache(capacity);
    fullStates = cache(capacity);
    composed = cache(capacity);
    views = cache(capacity);
    hashes = cache(capacity);
    patched = cache(capacity);
    differences = cache(capacity);
  }

  private static <K, V> Cache<K, V> cache(int capacity) {
    return CacheBuilder.newBuilder()
        .concurrencyLevel(1)
        .weakKeys()
        .maximumSize(capacity)
        .<K, V>build();
  }

  private static <K, V> V computeIfAbsent(Cache<K, V> cache, K key, Function<K, V> function) {
    V known = cache.getIfPresent(key);
    if (known != null) {
      return known;
    }
    V computed = function.apply(key);
    cache.put(key, computed);
    return computed;
  }

  private record Difference(PlatformDocument base, ControlMessage.DocumentDelta delta) {}

  private record Applied(FleetState base, Either<Violation, FleetState> result) {}

  private record Composed(
      PlatformDocument document, Either<List<Violation>, ProxySnapshot> result) {}

  private record Patched(PlatformDocument base, Either<Violation, PlatformDocument> result) {}

  /** Applies a delta completely and checks the references of the result. */
  Either<Violation, FleetState> apply(StateDelta delta, FleetState base) {
    FleetState effective = delta.isWholeState() ? FleetState.EMPTY : base;
    Applied known = applied.getIfPresent(delta);
    if (known != null && known.base == effective) {
      return known.result;
    }
    Either<Violation, FleetState> result =
        StateDeltas.apply(delta, effective).flatMap(SharedStateCache::checkReferences);
    applied.put(delta, new Applied(effective, result));
    return result;
  }

  private static Either<Violation, FleetState> checkReferences(FleetState state) {
    List<Violation> violations = ReferenceCheck.violations(state);
    return violations.isEmpty() ? Either.right(state) : Either.left(violations.get(0));
  }

  /** Caches a result that a leader already computed. */
  void remember(StateDelta delta, FleetState base, FleetState result) {
    applied.put(delta, new Applied(base, Either.right(result)));
  }

  /** The full state as a delta. */
  StateDelta fullState(FleetState state) {
    return computeIfAbsent(
        fullStates,
        state,
        key -> {
          StateDelta delta = StateDeltas.wholeState(key);
          remember(delta, FleetState.EMPTY, key);
          return delta;
        });
  }

  /** The composed pair, or the reasons why it does not compose. */
  Either<List<Violation>, ProxySnapshot> compose(FleetState state, PlatformDocument document) {
    Composed known = composed.getIfPresent(state);
    if (known != null && known.document == document) {
      return known.result;
    }
    Either<List<Violation>, ProxySnapshot> result = ProxySnapshot.compose(state, document);
    composed.put(state, new Composed(document, result));
    return result;
  }

  /** The roster grouped by zone. */
  RosterView view(Roster roster) {
    return computeIfAbsent(views, roster, RosterView::new);
  }

  /** Content hash of a document. */
  long hash(PlatformDocument document) {
    return computeIfAbsent(hashes, document, DocumentDeltas::hash);
  }

  /** The delta that leads from one document to the other. */
  ControlMessage.DocumentDelta difference(PlatformDocument base, PlatformDocument target) {
    Difference known = differences.getIfPresent(target);
    if (known != null && known.base == base) {
      return known.delta;
    }
    ControlMessage.DocumentDelta delta = DocumentDeltas.between(base, target);
    differences.put(target, new Difference(base, delta));
    patched.put(delta, new Patched(base, Either.right(target)));
    return delta;
  }

  /** Applies a document delta and verifies its hash. */
  Either<Violation, PlatformDocument> patch(
      ControlMessage.DocumentDelta delta, PlatformDocument base) {
    PlatformDocument effective = delta.base() == 0 ? PlatformDocument.NONE : base;
    Patched known = patched.getIfPresent(delta);
    if (known != null && known.base == effective) {
      return known.result;
    }
    Either<Violation, PlatformDocument> result = DocumentDeltas.apply(delta, effective);
    patched.put(delta, new Patched(effective, result));
    return result;
  }
}
