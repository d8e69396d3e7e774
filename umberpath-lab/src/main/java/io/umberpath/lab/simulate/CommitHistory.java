package io.umberpath.lab.simulate;

import io.umberpath.model.FleetState;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Roster;
import io.umberpath.model.Version;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Which version each process has held and which versions are committed, found out apart from what
 * the processes believe: a version counts as committed only when members that have held it, or a
 * later one of its epoch, are a majority of its roster and of the roster before.
 */
final class CommitHistory {
  private static final int KEPT_STATES = 2_000;

  private record Process(PeerAddress address, long incarnation) {}

  private final ViolationLog violations;
  private final boolean quorumChecked;
  private final Map<Process, TreeMap<Long, Long>> heldSequences = new HashMap<>();
  private final TreeMap<Version, FleetState> committed = new TreeMap<>();
  private Version highestForgotten = Version.NONE;

  CommitHistory(ViolationLog violations, boolean quorumChecked) {
    this.violations = violations;
    this.quorumChecked = quorumChecked;
  }

  void held(SimulatedNode node, Version version) {
    heldSequences
        .computeIfAbsent(new Process(node.address, node.incarnation), key -> new TreeMap<>())
        .merge(version.epoch(), version.sequence(), Math::max);
  }

  /**
   * A process believes a state to be committed.
   *
   * @return whether the version was not known to be committed before
   */
  boolean believed(SimulatedNode node, FleetState state) {
    Version version = state.version();
    if (version.equals(Version.NONE) || version.compareTo(highestForgotten) <= 0) {
      return false;
    }
    FleetState known = committed.get(version);
    if (known != null) {
      checkSameValue(node, known, state);
      return false;
    }
    if (quorumChecked) {
      checkQuorum(node, version, state.roster(), "roster");
      checkQuorum(node, version, state.previousRoster(), "previous roster");
    }
    committed.put(version, state);
    if (committed.size() > KEPT_STATES) {
      highestForgotten = committed.pollFirstEntry().getKey();
    }
    return true;
  }

  private void checkSameValue(SimulatedNode node, FleetState known, FleetState state) {
    if (known != state && known.contentHash() != state.contentHash()) {
      violations.add("one-value-per-version", node + " has another content for " + state.version());
    }
  }

  private void checkQuorum(SimulatedNode node, Version version, Roster roster, String name) {
    int holders = 0;
    for (Member member : roster.members()) {
      if (hasHeld(member, version)) {
        holders++;
      }
    }
    if (holders * 2 <= roster.size()) {
      violations.add(
          "committed-by-quorum",
          node
              + " takes "
              + version
              + " as committed; "
              + holders
              + " of the "
              + name
              + "'s "
              + roster.size()
              + " members have held it");
    }
  }

  private boolean hasHeld(Member member, Version version) {
    TreeMap<Long, Long> sequences =
        heldSequences.get(new Process(member.address(), member.incarnation()));
    return sequences != null && sequences.getOrDefault(version.epoch(), -1L) >= version.sequence();
  }

  boolean isCommitted(Version version) {
    return version.compareTo(highestForgotten) <= 0 || committed.containsKey(version);
  }

  NavigableMap<Version, FleetState> states() {
    return committed;
  }

  FleetState newest() {
    return committed.isEmpty() ? FleetState.EMPTY : committed.lastEntry().getValue();
  }

  /** Forgets commits above a version, after every process that held them has died. */
  void lose(Version survivors) {
    committed.tailMap(survivors, false).clear();
    if (highestForgotten.isAfter(survivors)) {
      highestForgotten = survivors;
    }
  }
}
