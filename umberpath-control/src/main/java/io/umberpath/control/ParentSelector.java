package io.umberpath.control;

import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Selects the parents that a node tries, in order. Within a zone a parent has a smaller slot than
 * its child, so that long-lived members become relays and no cycle forms.
 */
final class ParentSelector {
  private static final int ZONE_ATTEMPTS = 3;
  private static final int HEAD_ATTEMPTS = 2;

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTracker leaderTracker;

  ParentSelector(NodeContext context, Acceptor acceptor, LeaderTracker leaderTracker) {
    this.context = context;
    this.acceptor = acceptor;
    this.leaderTracker = leaderTracker;
  }

  /** Index of this node among the members of its zone; -1 if it is not a member. */
  int index() {
    return zone().indexOf(acceptor.slot());
  }

  private RosterView.Zone zone() {
    return view().zone(context.process().zone());
  }

  private RosterView view() {
    return context.view(acceptor.committed().roster());
  }

  /**
   * The parent that a member should have while all nodes are reachable; empty for other processes.
   */
  Optional<PeerAddress> preferred() {
    int index = index();
    if (index < 0) {
      return Optional.empty();
    }
    if (index == 0) {
      return leaderTracker.leader().filter(leader -> !leader.equals(context.address()));
    }
    return Optional.of(zone().members().get((index - 1) / context.settings().fanout()).address());
  }

  /** The parent to try at an attempt; empty if there is none. */
  Optional<PeerAddress> candidate(int attempt) {
    int index = index();
    if (index < 0) {
      return fallback(attempt);
    }
    int cycle = 1 + ZONE_ATTEMPTS + HEAD_ATTEMPTS + 2;
    int step = attempt % cycle;
    if (step == 0) {
      return preferred().or(() -> zoneHead(attempt));
    }
    if (step <= ZONE_ATTEMPTS && index > 0) {
      return Optional.of(zone().members().get((int) context.jitter(attempt, index)).address());
    }
    if (step <= ZONE_ATTEMPTS + HEAD_ATTEMPTS) {
      return zoneHead(attempt);
    }
    return step == cycle - 1
        ? fallback(attempt / cycle)
        : leaderTracker.leader().filter(leader -> !leader.equals(context.address()));
  }

  private Optional<PeerAddress> zoneHead(int attempt) {
    List<PeerAddress> heads = new ArrayList<>();
    for (Member head : view().zoneHeads()) {
      if (!head.address().equals(context.address())) {
        heads.add(head.address());
      }
    }
    return select(heads, attempt);
  }

  /** A seed or a zone head of the last roster that this process knew, if any. */
  private Optional<PeerAddress> fallback(int attempt) {
    List<PeerAddress> known = new ArrayList<>(context.settings().seeds());
    for (Member head : view().zoneHeads()) {
      if (!known.contains(head.address())) {
        known.add(head.address());
      }
    }
    known.remove(context.address());
    return select(known, attempt);
  }

  private Optional<PeerAddress> select(List<PeerAddress> peers, int attempt) {
    if (peers.isEmpty()) {
      return Optional.empty();
    }
    long start = context.jitter(0, peers.size());
    return Optional.of(peers.get((int) ((start + attempt) % peers.size())));
  }
}
