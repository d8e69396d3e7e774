package io.umberpath.control;

import io.umberpath.control.ControlMessage.Attach;
import io.umberpath.control.ControlMessage.Detach;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Version;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** The child's side of the relay tree: finds a parent, notices when it stalls, and changes it. */
final class ParentLink {
  private static final int MAX_BACKOFF_SHIFT = 4;
  private static final int MAX_REDIRECTS = 16;
  private static final long SETTLE_MILLIS = 5_000;

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTrack track;
  private final ParentChoice choice;
  private final DocumentSpread documents;
  private final Deque<PeerAddress> redirects = new ArrayDeque<>();
  private PeerAddress parent;
  private long parentHeardAt;
  private long missedMillis = -1;
  private PeerAddress target;
  private long targetSince;
  private int attempt;
  private int redirectsFollowed;
  private long nextAttemptAt;
  private boolean enabled = true;

  ParentLink(
      NodeContext context,
      Acceptor acceptor,
      LeaderTrack track,
      ParentChoice choice,
      DocumentSpread documents) {
    this.context = context;
    this.acceptor = acceptor;
    this.track = track;
    this.choice = choice;
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

  /** The node leads now and has no parent. */
  void disable() {
    enabled = false;
    leaveParent();
    target = null;
    redirects.clear();
  }

  /** The node leads no longer. */
  void enable() {
    if (!enabled) {
      enabled = true;
      searchSoon();
    }
  }

  /** The parent sent something. */
  void heardParent() {
    parentHeardAt = context.now();
  }

  /** How long this node was without a parent when it got this one; -1 for ever. */
  long missedMillis() {
    return missedMillis;
  }

  /** The best parent may have changed; look for it soon. */
  void reconsider() {
    attempt = 0;
    long jitter = context.spread(track.round().epoch(), context.settings().heartbeatMillis());
    nextAttemptAt = Math.min(nextAttemptAt, context.now() + jitter);
  }

  /** A leader or candidate made itself known; it takes this node if nobody better does. */
  void announced(PeerAddress member) {
    boolean unled = !acceptor.isMember() && !track.isFed();
    boolean lacking = parent == null || context.now() - parentHeardAt >= stall() / 2 || unled;
    boolean useful = !member.equals(parent) && !redirects.contains(member);
    if (enabled && lacking && useful && (attempt > 0 || unled)) {
      redirects.addFirst(member);
      nextAttemptAt = context.now();
    }
  }

  private void searchSoon() {
    attempt = 0;
    redirectsFollowed = 0;
    nextAttemptAt = context.now() + context.spread(0, context.settings().heartbeatMillis() / 4);
  }

  /** A connection broke, or the peer said that this node is not its child. */
  void lost(PeerAddress peer) {
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

  /** The peer takes no child; it may know others. */
  void redirected(PeerAddress from, List<PeerAddress> candidates) {
    boolean expected = isNeeded(from);
    lost(from);
    if (!expected || redirectsFollowed >= MAX_REDIRECTS) {
      return;
    }
    for (PeerAddress candidate : candidates) {
      boolean useful = !candidate.equals(context.address()) && !candidate.equals(parent);
      if (useful && redirects.size() < MAX_REDIRECTS) {
        redirects.add(candidate);
      }
    }
    if (!redirects.isEmpty()) {
      redirectsFollowed++;
      nextAttemptAt = context.now();
    }
  }

  /**
   * The peer took this node as a child.
   *
   * @return whether it is the parent now; otherwise the acceptance came too late
   */
  boolean accepted(PeerAddress from) {
    if (from.equals(parent)) {
      heardParent();
      return true;
    }
    if (!enabled || !from.equals(target)) {
      context.send(from, new Detach());
      return false;
    }
    missedMillis = missed();
    leaveParent();
    parent = from;
    target = null;
    attempt = 0;
    redirectsFollowed = 0;
    redirects.clear();
    heardParent();
    nextAttemptAt = context.now() + settleMillis();
    return true;
  }

  private long settleMillis() {
    return SETTLE_MILLIS + context.spread(attempt, SETTLE_MILLIS);
  }

  /** Tries to attach if a better parent is needed. */
  void tick() {
    if (!enabled) {
      return;
    }
    if (parent != null && context.now() - parentHeardAt >= stall()) {
      lost(parent);
    }
    if (target != null && context.now() >= targetSince + attemptMillis()) {
      target = null;
      failedAttempt();
    }
    if (target == null && context.now() >= nextAttemptAt) {
      tryNext();
    }
  }

  private void tryNext() {
    Optional<PeerAddress> next = next();
    if (next.isEmpty()) {
      nextAttemptAt = context.now() + (parent == null ? attemptMillis() : settleMillis());
      return;
    }
    target = next.get();
    targetSince = context.now();
    boolean equalSuffices = parent == null || !roundIsStale();
    context.send(
        target,
        new Attach(
            acceptor.self(),
            acceptor.wholeStateWanted() ? Version.NONE : acceptor.held().version(),
            documents.revision(),
            acceptor.promised(),
            track.fedRound(),
            equalSuffices,
            missed()));
  }

  private long missed() {
    return parentHeardAt == 0 ? -1 : context.now() - parentHeardAt;
  }

  private Optional<PeerAddress> next() {
    PeerAddress redirect = redirects.pollFirst();
    if (redirect != null) {
      return Optional.of(redirect).filter(peer -> !peer.equals(parent));
    }
    redirectsFollowed = 0;
    if (parent == null || roundIsStale()) {
      return choice.candidate(attempt).filter(peer -> !peer.equals(parent));
    }
    return choice.preferred().filter(peer -> !peer.equals(parent));
  }

  private boolean roundIsStale() {
    return !track.fedWithin(stall());
  }

  private void failedAttempt() {
    attempt++;
    int shift = Math.min(attempt, MAX_BACKOFF_SHIFT);
    long interval;
    if (parent == null) {
      interval = context.settings().heartbeatMillis() / 4 << shift;
    } else {
      interval = roundIsStale() ? stall() / 2 << shift : SETTLE_MILLIS << shift;
    }
    if (!redirects.isEmpty()) {
      interval = 0;
    }
    nextAttemptAt = context.now() + interval / 2 + context.spread(attempt, interval / 2 + 1);
  }

  private long stall() {
    return context.settings().parentStallMillis();
  }

  private long attemptMillis() {
    return Math.max(1, stall() / 2);
  }

  /** When {@link #tick} has something to do next. */
  long nextAt() {
    if (!enabled) {
      return Long.MAX_VALUE;
    }
    long next = target == null ? nextAttemptAt : targetSince + attemptMillis();
    return parent == null ? next : Math.min(next, parentHeardAt + stall());
  }
}
