package io.umberpath.lab.simulate;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Route;
import io.umberpath.model.Version;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Checks each switch of a proxy: never back, committed only, whole, and the same content as every
 * other proxy has for the same pair.
 */
final class ActivationChecker {
  private static final int KEPT_PAIRS = 256;

  /** Up to this many proxies per pair are compared back end by back end. */
  private static final int FULL_COMPARISONS = 64;

  private record Pair(Version version, long revision) {}

  private static final class Reference {
    private final ProxySnapshot snapshot;
    private int comparisons;

    private Reference(ProxySnapshot snapshot) {
      this.snapshot = snapshot;
    }
  }

  private final ViolationLog violations;
  private final CommitHistory history;
  private final Map<PeerAddress, Pair> floors = new HashMap<>();
  private final Map<Pair, Reference> references =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Pair, Reference> eldest) {
          return size() > KEPT_PAIRS;
        }
      };

  ActivationChecker(ViolationLog violations, CommitHistory history) {
    this.violations = violations;
    this.history = history;
  }

  void check(SimulatedNode node, ProxySnapshot snapshot) {
    Pair pair = new Pair(snapshot.version(), snapshot.revision());
    checkFloor(node, pair);
    if (!pair.version.equals(Version.NONE) && !history.isCommitted(pair.version)) {
      violations.add("activates-committed-only", node + " activates uncommitted " + pair.version);
    }
    Reference reference = references.get(pair);
    if (reference == null) {
      checkWhole(node, snapshot);
      references.put(pair, new Reference(snapshot));
    } else {
      checkSame(node, reference, snapshot);
    }
  }

  private void checkFloor(SimulatedNode node, Pair pair) {
    Pair floor = floors.put(node.address, pair);
    if (floor != null && (floor.version.isAfter(pair.version) || floor.revision > pair.revision)) {
      violations.add("never-back", node + " goes from " + floor + " back to " + pair);
    }
  }

  private void checkWhole(SimulatedNode node, ProxySnapshot snapshot) {
    for (Route route : snapshot.routes()) {
      if (!snapshot.pools().containsKey(route.pool())) {
        violations.add("no-dangling-route", node + ": " + route.name() + " lacks its pool");
      }
      if (route.secret().isPresent() && !snapshot.secrets().containsKey(route.secret().get())) {
        violations.add("no-dangling-route", node + ": " + route.name() + " lacks its secret");
      }
    }
  }

  private void checkSame(SimulatedNode node, Reference reference, ProxySnapshot snapshot) {
    ProxySnapshot first = reference.snapshot;
    boolean full = reference.comparisons++ < FULL_COMPARISONS;
    boolean same =
        first.routes().equals(snapshot.routes())
            && first.secrets().size() == snapshot.secrets().size()
            && first.pools().size() == snapshot.pools().size()
            && (!full
                || first.pools().equals(snapshot.pools())
                    && first.secrets().equals(snapshot.secrets()));
    if (!same) {
      violations.add(
          "one-value-per-version",
          node + " runs another content of " + snapshot.version() + "/" + snapshot.revision());
    }
  }

  /** Lowers what proxies may not fall below, after every holder of more has died. */
  void lose(Version survivors, long revision) {
    floors.replaceAll(
        (address, floor) ->
            new Pair(
                floor.version.isAfter(survivors) ? survivors : floor.version,
                Math.min(floor.revision, revision)));
    references.keySet().removeIf(pair -> pair.version.isAfter(survivors));
  }
}
