package io.umberpath.control;

import io.umberpath.model.StateDelta;
import io.umberpath.model.Version;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Bounded log of the newest deltas that a node accepted, by the version they apply to. */
final class DeltaLog {
  private static final int CAPACITY = 64;

  private final Map<Version, StateDelta> byBase =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Version, StateDelta> eldest) {
          return size() > CAPACITY;
        }
      };

  /** Adds a delta; full states are not logged. */
  void add(StateDelta delta) {
    if (!delta.isWholeState()) {
      byBase.remove(delta.base());
      byBase.put(delta.base(), delta);
    }
  }

  /** The deltas that lead from one version to the other; empty if some are missing. */
  Optional<List<StateDelta>> chain(Version from, Version to) {
    List<StateDelta> found = new ArrayList<>();
    Version current = from;
    while (!current.equals(to)) {
      StateDelta next = byBase.get(current);
      if (next == null || next.target().isAfter(to)) {
        return Optional.empty();
      }
      found.add(next);
      current = next.target();
    }
    return Optional.of(found);
  }
}
