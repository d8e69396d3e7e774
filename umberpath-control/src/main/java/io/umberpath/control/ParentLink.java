package io.umberpath.control;

import io.umberpath.control.ControlMessage.Attach;
import io.umberpath.control.ControlMessage.Detach;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Version;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** Child side of the relay tree: finds a parent, detects when it stalls, and replaces it. */
final class ParentLink {
  private static final int MAX_BACKOFF_SHIFT = 4;
  private static final int MAX_REDIRECTS = 16;
  private static final long RECONSIDER_MILLIS = 5_000;

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTracker leaderTracker;
  private final ParentSelector parentSelector;
  private final DocumentDistributor documents;
  private final Deque<PeerAddress> redirects = new ArrayDeque<>();
  private PeerAddress parent;
  private long parentHeardAt;
  private long missedMillis = -1;
  private PeerAddress target;
  private long targetSince;
  private int attempt;
  private int redirectsFollowed;
  private long nextAttemptAt;
  private boolean isEnabled = true;

  ParentLink(
      NodeContext context,
      Acceptor acceptor,
      LeaderTracker leaderTracker,
      ParentSelector parentSelector,
      DocumentDistributor documents) {
    this.context = context;
    this.acceptor = acceptor;
    this.leaderTracker = leaderTracker;
    this.parentSelector = parentSelector;
    this.documents = documents;
  }

  Optional<PeerAddress> parent() {
    return Optional.ofNullable(parent);
  }

  boolean isParent(PeerAddress peer) {
    return peer.equals(parent);
  }

  boolean isNeeded(PeerAddress peer) {
    return peer.equals(parent) || peer.equals(target);
  }

  /** Stops using a parent because this node is now the leader. */
  void disable() {
    isEnabled = false;
    leaveParent();
    target = null;
    redirects.clear();
  }

  /** Starts looking for a parent because this node no longer leads. */
  void enable() {
    if (!isEnabled) {
      isEnabled = true;
      searchSoon();
    }
  }

  /** Records that the parent sent a message. */
  void recordParentMessage() {
    parentHeardAt = context.now();
  }

  /** How long this node had no parent when it got the current one; -1 if it never had one. */
  long missedMillis() {
    return missedMillis;
  }

  /** Schedules a new search because the preferred parent may have changed. */
  void reconsider() {
    attempt = 0;
    long jitter =
        context.jitter(leaderTracker.round().epoch(), context.settings().heartbeatMillis());
    nextAttemptAt = Math.min(nextAttemptAt, context.now() + jitter);
  }

  /**
   * Handles the announcement of a leader or candidate, which becomes the next parent to try if this
   * node lacks a working one.
   */
  void onAnnouncement(PeerAddress member) {
    boolean hasNoLeader = !acceptor.isMember() && !leaderTracker.isDeliveryCurrent();
    boolean needsParent =
        parent == null || context.now() - parentHeardAt >= stallMillis() / 2 || hasNoLeader;
    boolean isUseful = !member.equals(parent) && !redirects.contains(member);
    if (isEnabled && needsParent && isUseful && (attempt > 0 || hasNoLeader)) {
      redirects.addFirst(member);
      nextAttemptAt = context.now();
    }
  }

  private void searchSoon() {
    attempt = 0;
    redirectsFollowed = 0;
    nextAttemptAt = context.now() + context.jitter(0, context.settings().heartbeatMillis() / 4);
  }

  /** Handles a lost connection, or a peer's message that this node is not its child. */
  void onLost(PeerAddress peer) {
    if (peer.equals(target)) {
      target = null;
      failedAttempt();
    }
    if (peer.equals(parent)) {
      parent = null;
      searchSoon();
    }
  }

  private void leaveParent() {
    if (parent != null) {
      context.send(parent, new Detach());
      context.emit(new ControlOutput.Disconnect(parent));
      parent = null;
    }
  }

  /** Handles the peer's refusal to accept this node as a child; it may suggest other nodes. */
  void onRedirect(PeerAddress from, List<PeerAddress> candidates) {
    boolean isExpected = isNeeded(from);
    onLost(from);
    if (!isExpected || redirectsFollowed >= MAX_REDIRECTS) {
      return;
    }
    for (PeerAddress candidate : candidates) {
      boolean isUseful = !candidate.equals(context.address()) && !candidate.equals(parent);
      if (isUseful && redirects.size() < MAX_REDIRECTS) {
        redirects.add(candidate);
      }
    }
    if (!redirects.isEmpty()) {
      redirectsFollowed++;
      nextAttemptAt = context.now();
    }
  }

  /**
   * Handles the peer's acceptance of this node as a child.
   *
   * @return whether the peer is now the parent; otherwise the acceptance came too late
   */
  boolean onAccepted(PeerAddress from) {
    if (from.equals(parent)) {
      recordParentMessage();
      return true;
    }
    if (!isEnabled || !from.equals(target)) {
      context.send(from, new Detach());
      return false;
    }
    missedMillis = currentMissedMillis();
    leaveParent();
    parent = from;
    target = null;
    attempt = 0;
    redirectsFollowed = 0;
    redirects.clear();
    recordParentMessage();
    nextAttemptAt = context.now() + reconsiderMillis();
    return true;
  }

  private long reconsiderMillis() {
    return RECONSIDER_MILLIS + context.jitter(attempt, RECONSIDER_MILLIS);
  }

  /** Tries to attach if a new or better parent is needed. */
  void tick() {
    if (!isEnabled) {
      return;
    }
    if (parent != null && context.now() - parentHeardAt >= stallMillis()) {
      onLost(parent);
    }
    if (target != null && context.now() >= targetSince + attemptTimeoutMillis()) {
      target = null;
      failedAttempt();
    }
    if (target == null && context.now() >= nextAttemptAt) {
      tryNext();
    }
  }

  private void tryNext() {
    Optional<PeerAddress> next = nextCandidate();
    if (next.isEmpty()) {
      nextAttemptAt =
          context.now() + (parent == null ? attemptTimeoutMillis() : reconsiderMillis());
      return;
    }
    target = next.get();
    targetSince = context.now();
    boolean equalSuffices = parent == null || !isRoundStale();
    context.send(
        target,
        new Attach(
            acceptor.self(),
            acceptor.isFullStateNeeded() ? Version.NONE : acceptor.held().version(),
            documents.revision(),
            acceptor.promised(),
            leaderTracker.deliveredRound(),
            equalSuffices,
            currentMissedMillis()));
  }

  private long currentMissedMillis() {
    return parentHeardAt == 0 ? -1 : context.now() - parentHeardAt;
  }

  private Optional<PeerAddress> nextCandidate() {
    PeerAddress redirect = redirects.pollFirst();
    if (redirect != null) {
      return Optional.of(redirect).filter(peer -> !peer.equals(parent));
    }
    redirectsFollowed = 0;
    if (parent == null || isRoundStale()) {
      return parentSelector.candidate(attempt).filter(peer -> !peer.equals(parent));
    }
    return parentSelector.preferred().filter(peer -> !peer.equals(parent));
  }

  private boolean isRoundStale() {
    return !leaderTracker.isDeliveredWithin(stallMillis());
  }

  private void failedAttempt() {
    attempt++;
    int shift = Math.min(attempt, MAX_BACKOFF_SHIFT);
    long interval;
    if (parent == null) {
      interval = context.settings().heartbeatMillis() / 4 << shift;
    } else {
      interval = isRoundStale() ? stallMillis() / 2 << shift : RECONSIDER_MILLIS << shift;
    }
    if (!redirects.isEmpty()) {
      interval = 0;
    }
    nextAttemptAt = context.now() + interval / 2 + context.jitter(attempt, interval / 2 + 1);
  }

  private long stallMillis() {
    return context.settings().parentStallMillis();
  }

  private long attemptTimeoutMillis() {
    return Math.max(1, stallMillis() / 2);
  }

  /** When {@link #tick} is due. */
  long nextAt() {
    if (!isEnabled) {
      return Long.MAX_VALUE;
    }
    long next = target == null ? nextAttemptAt : targetSince + attemptTimeoutMillis();
    return parent == null ? next : Math.min(next, parentHeardAt + stallMillis());
  }
}
