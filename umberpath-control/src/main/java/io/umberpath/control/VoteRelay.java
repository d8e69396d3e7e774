package io.umberpath.control;

import io.umberpath.control.ControlMessage.HeldGroup;
import io.umberpath.control.ControlMessage.VoteAnswer;
import io.umberpath.control.ControlMessage.VoteRequest;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Version;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Answers requests for votes for this node and its subtree. The newest request of each kind is
 * passed to the children once; their answers are merged and handed to everyone who asked.
 */
final class VoteRelay {
  private static final long COALESCE_MILLIS = 20;
  private static final int MAX_REQUESTERS = 64;

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTrack track;
  private final Children children;
  private Poll intent;
  private Poll binding;

  /** One request and what is known of its votes. */
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

  VoteRelay(NodeContext context, Acceptor acceptor, LeaderTrack track, Children children) {
    this.context = context;
    this.acceptor = acceptor;
    this.track = track;
    this.children = children;
  }

  /**
   * Takes a request.
   *
   * @param leads whether this node leads now
   * @return whether this node granted
   */
  boolean request(PeerAddress from, VoteRequest request, boolean leads) {
    Poll poll = request.binding() ? binding : intent;
    if (poll != null && poll.request.equals(request)) {
      if (poll.requesters.size() < MAX_REQUESTERS) {
        poll.requesters.add(from);
      }
      due(poll);
      return false;
    }
    boolean granted = grants(request, leads);
    poll = new Poll(request);
    poll.tally.promised(acceptor.promised());
    poll.requesters.add(from);
    if (granted) {
      grant(poll.tally);
    }
    if (request.binding()) {
      binding = poll;
    } else {
      intent = poll;
    }
    for (PeerAddress child : children.addresses()) {
      if (!child.equals(from) && !child.equals(request.candidate().address())) {
        poll.expected.add(child);
        context.send(child, request);
      }
    }
    due(poll);
    return granted;
  }

  private boolean grants(VoteRequest request, boolean leads) {
    if (request.binding()) {
      return acceptor.promise(request.epoch(), request.candidate());
    }
    boolean leaderHeard = leads || track.heardWithin(context.settings().electionMillis());
    return !leaderHeard && request.epoch() > acceptor.promised();
  }

  /** Adds this node's own vote. */
  void grant(VoteTally tally) {
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

  /** Takes a child's answer; answers to other requests are ignored. */
  void answer(PeerAddress from, VoteAnswer answer) {
    Poll poll = answer.binding() ? binding : intent;
    if (poll != null
        && poll.request.epoch() == answer.epoch()
        && poll.request.attempt() == answer.attempt()
        && poll.request.candidate().address().equals(answer.candidate())) {
      poll.tally.add(answer);
      poll.expected.remove(from);
      due(poll);
    }
  }

  private void due(Poll poll) {
    long delay = poll.expected.isEmpty() ? 0 : COALESCE_MILLIS;
    poll.dueAt = Math.min(poll.dueAt, context.now() + delay);
  }

  /** Sends the answers that are due. */
  void flush() {
    flush(intent);
    flush(binding);
  }

  private void flush(Poll poll) {
    if (poll == null || context.now() < poll.dueAt) {
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
            poll.tally.groups(),
            java.util.List.copyOf(poll.tally.fresh().values()));
    poll.requesters.forEach(requester -> context.send(requester, answer));
  }

  /** When {@link #flush} is due. */
  long nextAt() {
    long first = intent == null ? Long.MAX_VALUE : intent.dueAt;
    return binding == null ? first : Math.min(first, binding.dueAt);
  }
}
