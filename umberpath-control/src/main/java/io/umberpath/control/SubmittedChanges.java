package io.umberpath.control;

import io.umberpath.control.ChangeQueue.Entry;
import io.umberpath.control.ControlMessage.ChangeOutcome;
import io.umberpath.control.ControlMessage.ForwardChange;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeResult.RefusalCode;
import io.umberpath.model.ChangeSet;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The changes that operators submitted at this node. A change is refused here only if it was never
 * forwarded or proposed; otherwise only a leader's result or "unknown" completes it.
 */
final class SubmittedChanges {
  private static final int NO_LEADER_ELECTION_TIMEOUTS = 2;
  private static final int RESEND_HEARTBEATS = 2;
  private static final long NEVER = -1;

  private final NodeContext context;
  private final LeaderTracker leaderTracker;
  private final Acceptor acceptor;
  private final ChangeDecider decider;
  private final TreeMap<Long, Pending> byNumber = new TreeMap<>();
  private long lastNumber;

  /** A submitted change without a result. */
  private static final class Pending {
    private final long ticket;
    private final long number;
    private final ChangeSet change;
    private final long submittedAt;
    private long sentEpoch = NEVER;
    private long sentAt;
    private Entry queued;
    private boolean mayHaveRun;

    private Pending(long ticket, long number, ChangeSet change, long submittedAt) {
      this.ticket = ticket;
      this.number = number;
      this.change = change;
      this.submittedAt = submittedAt;
    }
  }

  SubmittedChanges(
      NodeContext context, LeaderTracker leaderTracker, Acceptor acceptor, ChangeDecider decider) {
    this.context = context;
    this.leaderTracker = leaderTracker;
    this.acceptor = acceptor;
    this.decider = decider;
  }

  /** Adds a change submitted by an operator. */
  void submit(long ticket, ChangeSet change) {
    if (byNumber.size() >= context.settings().maxQueuedChanges()) {
      respond(ticket, ChangeDecider.overloadRefusal());
      return;
    }
    lastNumber++;
    byNumber.put(lastNumber, new Pending(ticket, lastNumber, change, context.now()));
  }

  /** Completes a change whose owner stops waiting. */
  void abandon(long ticket) {
    for (Pending pending : List.copyOf(byNumber.values())) {
      if (pending.ticket == ticket) {
        boolean withdrawn = pending.queued != null && decider.cancel(pending.queued);
        finish(pending, !pending.mayHaveRun ? refusalOrUnknown(pending, withdrawn) : unknown());
      }
    }
  }

  private ChangeResult refusalOrUnknown(Pending pending, boolean withdrawn) {
    boolean isCertain = pending.queued == null || withdrawn;
    return isCertain ? new ChangeResult.Refused(RefusalCode.NO_QUORUM, List.of()) : unknown();
  }

  private static ChangeResult unknown() {
    return new ChangeResult.Unknown("no outcome was known when the wait ended");
  }

  /**
   * Handles a leader's result for a forwarded change; a refusal by a previous leader is ignored.
   */
  void onOutcome(ChangeOutcome outcome) {
    Pending pending = byNumber.get(outcome.number());
    if (pending != null
        && outcome.incarnation() == context.process().incarnation()
        && (outcome.epoch() == pending.sentEpoch
            || outcome.result() instanceof ChangeResult.Accepted)) {
      finish(pending, outcome.result());
    }
  }

  private void finish(Pending pending, ChangeResult result) {
    if (byNumber.remove(pending.number) != null) {
      respond(pending.ticket, result);
    }
  }

  private void respond(long ticket, ChangeResult result) {
    context.emit(new ControlOutput.ChangeAnswered(ticket, result));
  }

  /**
   * Sends pending changes to the leader, again if necessary, and refuses changes for which no
   * leader was found in time.
   */
  void flush(boolean isLeader, long epoch) {
    if (byNumber.isEmpty()) {
      return;
    }
    for (Pending pending : new ArrayList<>(byNumber.values())) {
      if (isLeader) {
        enqueueLocally(pending, epoch);
      } else if (leaderTracker.isHeardWithin(context.settings().electionMillis())) {
        forward(pending);
      } else {
        refuseIfExpired(pending);
      }
    }
  }

  private void enqueueLocally(Pending pending, long epoch) {
    if (pending.sentEpoch == epoch) {
      return;
    }
    Entry entry =
        new Entry(
            pending.change, () -> pending.mayHaveRun = true, result -> finish(pending, result));
    pending.queued = entry;
    if (decider.offer(entry)) {
      pending.sentEpoch = epoch;
      return;
    }
    pending.queued = null;
    if (decider.mayRefuse()) {
      finish(pending, ChangeDecider.overloadRefusal());
    }
  }

  private void forward(Pending pending) {
    long epoch = leaderTracker.round().epoch();
    boolean isSendDue =
        pending.sentEpoch != epoch || context.now() >= pending.sentAt + resendMillis();
    if (!isSendDue || leaderTracker.leader().isEmpty()) {
      return;
    }
    pending.queued = null;
    pending.sentEpoch = epoch;
    pending.sentAt = context.now();
    pending.mayHaveRun = true;
    context.send(
        leaderTracker.leader().get(),
        new ForwardChange(
            epoch, acceptor.self(), pending.number, byNumber.firstKey(), pending.change));
  }

  private void refuseIfExpired(Pending pending) {
    if (!pending.mayHaveRun && context.now() >= pending.submittedAt + noLeaderTimeoutMillis()) {
      finish(pending, new ChangeResult.Refused(RefusalCode.NO_QUORUM, List.of()));
    }
  }

  private long resendMillis() {
    return RESEND_HEARTBEATS * context.settings().heartbeatMillis();
  }

  private long noLeaderTimeoutMillis() {
    return NO_LEADER_ELECTION_TIMEOUTS * context.settings().electionMillis();
  }

  /** When {@link #flush} is due. */
  long nextAt(boolean isLeader) {
    if (byNumber.isEmpty() || isLeader) {
      return Long.MAX_VALUE;
    }
    long next = Long.MAX_VALUE;
    boolean heard = leaderTracker.isHeardWithin(context.settings().electionMillis());
    for (Pending pending : byNumber.values()) {
      if (heard) {
        next = Math.min(next, pending.sentAt + resendMillis());
      } else if (!pending.mayHaveRun) {
        next = Math.min(next, pending.submittedAt + noLeaderTimeoutMillis());
      }
    }
    return next;
  }
}
