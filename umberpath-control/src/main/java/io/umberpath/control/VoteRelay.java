package io.umberpath.control;

import io.umberpath.control.ControlMessage.HeldGroup;
import io.umberpath.control.ControlMessage.VoteAnswer;
import io.umberpath.control.ControlMessage.VoteRequest;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Version;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Handles vote requests for this node and its subtree. The newest request of each candidate is
 * forwarded to the children once; their responses are merged and sent to all requesters.
 */
final class VoteRelay {
  private static final long COALESCE_MILLIS = 20;
  private static final int MAX_REQUESTERS = 64;
  private static final int MAX_POLLS = 8;

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTracker leaderTracker;
  private final Children children;
  private final DocumentDistributor documents;
  private final Map<Key, Poll> polls = new LinkedHashMap<>();

  /** Only one request of each candidate and kind is tracked at a time. */
  private record Key(boolean binding, PeerAddress candidate) {}

  /** One request and the votes collected for it. */
  private static final class Poll {
    private final VoteRequest request;
    private final VoteTally tally = new VoteTally();
    private final Set<PeerAddress> requesters = new LinkedHashSet<>();
    private final Set<PeerAddress> expected = new LinkedHashSet<>();
    private long dueAt = Long.MAX_VALUE;

    private Poll(VoteRequest request) {
      this.request = request;
    }
  }

  VoteRelay(
      NodeContext context,
      Acceptor acceptor,
      LeaderTracker leaderTracker,
      Children children,
      DocumentDistributor documents) {
    this.context = context;
    this.acceptor = acceptor;
    this.leaderTracker = leaderTracker;
    this.children = children;
    this.documents = documents;
  }

  /**
   * Handles a request.
   *
   * @param isLeader whether this node is the leader
   * @return whether this node granted its vote
   */
  boolean onRequest(PeerAddress from, VoteRequest request, boolean isLeader) {
    Key key = new Key(request.binding(), request.candidate().address());
    Poll poll = polls.get(key);
    if (poll != null && poll.request.equals(request)) {
      if (poll.requesters.size() < MAX_REQUESTERS) {
        poll.requesters.add(from);
      }
      schedule(poll);
      return false;
    }
    boolean granted = shouldGrant(request, isLeader);
    poll = new Poll(request);
    poll.tally.promised(acceptor.promised());
    poll.tally.revision(documents.revision());
    poll.requesters.add(from);
    if (granted) {
      grant(poll.tally);
    }
    remember(key, poll);
    for (PeerAddress child : children.addresses()) {
      if (!child.equals(from) && !child.equals(request.candidate().address())) {
        poll.expected.add(child);
        context.send(child, request);
      }
    }
    schedule(poll);
    return granted;
  }

  private void remember(Key key, Poll poll) {
    polls.remove(key);
    polls.put(key, poll);
    if (polls.size() > MAX_POLLS) {
      polls.remove(polls.keySet().iterator().next());
    }
  }

  private boolean shouldGrant(VoteRequest request, boolean isLeader) {
    if (request.binding()) {
      return acceptor.promise(request.epoch(), request.candidate());
    }
    boolean leaderHeard =
        isLeader || leaderTracker.isHeardWithin(context.settings().electionMillis());
    return !leaderHeard && request.epoch() > acceptor.promised();
  }

  /** Adds this node's own vote. */
  void grant(VoteTally tally) {
    tally.committed(acceptor.committedVersion());
    Version held = acceptor.held().version();
    if (acceptor.isMember()) {
      tally.add(new HeldGroup(held, context.address(), SlotSet.of(acceptor.slot())));
      return;
    }
    if (!held.equals(Version.NONE)) {
      tally.add(new HeldGroup(held, context.address(), SlotSet.EMPTY));
    }
    tally.addFresh(context.process().withSlot(Member.NO_SLOT));
  }

  /** Handles a child's response; responses to other requests are ignored. */
  void onResponse(PeerAddress from, VoteAnswer answer) {
    Poll poll = polls.get(new Key(answer.binding(), answer.candidate()));
    if (poll != null
        && poll.request.epoch() == answer.epoch()
        && poll.request.attempt() == answer.attempt()) {
      boolean changed = poll.tally.add(answer);
      changed |= poll.expected.remove(from);
      if (changed) {
        schedule(poll);
      }
    }
  }

  private void schedule(Poll poll) {
    long delay = poll.expected.isEmpty() ? 0 : COALESCE_MILLIS;
    poll.dueAt = Math.min(poll.dueAt, context.now() + delay);
  }

  /** Sends the responses that are due. */
  void flush() {
    polls.values().forEach(this::flush);
  }

  private void flush(Poll poll) {
    if (context.now() < poll.dueAt) {
      return;
    }
    poll.dueAt = Long.MAX_VALUE;
    VoteRequest request = poll.request;
    VoteAnswer answer =
        new VoteAnswer(
            request.binding(),
            request.epoch(),
            request.candidate().address(),
            request.attempt(),
            poll.tally.promised(),
            poll.tally.revision(),
            poll.tally.committed(),
            poll.tally.groups(),
            java.util.List.copyOf(poll.tally.fresh().values()));
    poll.requesters.forEach(requester -> context.send(requester, answer));
  }

  /** When {@link #flush} is due. */
  long nextAt() {
    long next = Long.MAX_VALUE;
    for (Poll poll : polls.values()) {
      next = Math.min(next, poll.dueAt);
    }
    return next;
  }
}
