package io.umberpath.control;

import io.umberpath.control.ControlMessage.Deliver;
import io.umberpath.control.ControlMessage.ReportGroup;
import io.umberpath.control.ControlMessage.Round;
import io.umberpath.control.Membership.RosterStep;
import io.umberpath.model.FleetState;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.StateDelta;
import io.umberpath.model.Version;
import java.util.ArrayList;
import java.util.List;
import org.roaringbitmap.RoaringBitmap;

/**
 * Leader role of the replicated register: sends heartbeats, makes one proposal at a time, commits
 * it by quorum, and ends the term when the quorum or the epoch is lost.
 */
final class Leadership {
  private static final int ANNOUNCEMENTS_PER_ZONE = 3;

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTracker leaderTracker;
  private final Children children;
  private final SubtreeReporter reports;
  private final Membership membership;
  private final ChangeDecider decider;
  private final ReaderAssignment readerAssignment;
  private final DocumentDistributor documents;
  private final RoaringBitmap acknowledged = new RoaringBitmap();
  private RoaringBitmap reachable = new RoaringBitmap();
  private boolean isLeader;
  private boolean hasCommitted;
  private long epoch;
  private long round;
  private long nextRoundAt;
  private long quorumHeardAt;
  private long joinsSince = Long.MAX_VALUE;
  private List<Member> joins = List.of();

  Leadership(
      NodeContext context,
      Acceptor acceptor,
      LeaderTracker leaderTracker,
      Children children,
      SubtreeReporter reports,
      ChangeDecider decider,
      ReaderAssignment readerAssignment,
      DocumentDistributor documents) {
    this.context = context;
    this.acceptor = acceptor;
    this.leaderTracker = leaderTracker;
    this.children = children;
    this.reports = reports;
    this.membership = new Membership(context);
    this.decider = decider;
    this.readerAssignment = readerAssignment;
    this.documents = documents;
  }

  boolean isLeader() {
    return isLeader;
  }

  long epoch() {
    return epoch;
  }

  /** Slots that reported recently, including this node; must not be modified. */
  RoaringBitmap reachable() {
    return reachable;
  }

  /** Begins a term: proposes the newest state found again, or re-forms the fleet. */
  void start(Election.Victory victory) {
    isLeader = true;
    hasCommitted = false;
    epoch = victory.epoch();
    round = 0;
    quorumHeardAt = context.now();
    joinsSince = Long.MAX_VALUE;
    joins = List.of();
    membership.reset();
    decider.beginTerm(epoch);
    FleetState found = victory.state();
    if (victory.outcome() == VoteOutcome.QUORUM) {
      propose(Proposals.reproposal(found, epoch, victory.tally().isRosterSettled(found)), found);
    } else {
      RosterStep step = Membership.reformed(found, victory.tally());
      propose(Proposals.reformation(found, epoch, step), found);
      reportReformation(victory.outcome(), step);
    }
    readerAssignment.beginTerm(victory.outcome() == VoteOutcome.NEW_FLEET);
    context.notice("leader-elected", context.address() + " leads epoch " + epoch);
    sendHeartbeat();
  }

  private void reportReformation(VoteOutcome outcome, RosterStep step) {
    if (outcome == VoteOutcome.NEW_FLEET) {
      context.notice(
          "fleet-formed-from-nothing",
          "no process held any agreed state; "
              + step.addedMembers().size()
              + " members start from the platform's document alone");
    } else {
      context.notice(
          "fleet-reformed",
          step.removedSlots().size()
              + " members gone, "
              + step.addedMembers().size()
              + " new, on the newest state any survivor held");
    }
  }

  private void propose(StateDelta delta, FleetState base) {
    FleetState next = context.shared().apply(delta, base).get();
    acceptor.accept(delta, next);
    acknowledged.clear();
    children.scheduleDelivery();
  }

  /** Ends the term; changes that were not proposed have not taken effect. */
  void stepDown(String cause) {
    isLeader = false;
    leaderTracker.forgetLeader();
    decider.endTerm();
    context.notice("leader-stepped-down", "epoch " + epoch + ": " + cause);
  }

  /** Expires silent children, collects reports and sends a heartbeat if one is due. */
  void tick() {
    if (isLeader && context.now() >= nextRoundAt) {
      children.expire();
      collectReports();
      sendHeartbeat();
    }
  }

  private void sendHeartbeat() {
    round++;
    nextRoundAt = context.now() + context.settings().heartbeatMillis();
    membership.scan(acceptor.committed().roster(), reachable, documents.current());
    List<Integer> readers = readerAssignment.assign(acceptor.committed().roster(), reachable);
    Deliver own =
        new Deliver(
            new Round(epoch, round),
            context.address(),
            acceptor.slot(),
            acceptor.committed().version(),
            documents.statedRevision(),
            List.of(),
            readers);
    leaderTracker.recordRound(own, true);
    children.scheduleDelivery();
    announce(own);
  }

  /**
   * Announces this leader to the first unreachable members of each zone and to machines that have
   * not joined.
   */
  private void announce(Deliver own) {
    for (RosterView.Zone zone : context.view(acceptor.held().roster()).zones()) {
      int heard = RoaringBitmap.andCardinality(zone.slots(), reachable);
      if (heard == zone.members().size()) {
        continue;
      }
      for (PeerAddress peer : announcementTargets(zone)) {
        context.send(peer, own);
      }
    }
    membership.unjoinedMachines(round).forEach(peer -> context.send(peer, own));
  }

  private List<PeerAddress> announcementTargets(RosterView.Zone zone) {
    List<PeerAddress> silent = new ArrayList<>();
    for (Member member : zone.members()) {
      if (!reachable.contains(member.slot()) && !member.address().equals(context.address())) {
        silent.add(member.address());
      }
      if (silent.size() >= ANNOUNCEMENTS_PER_ZONE * (1 + round % ANNOUNCEMENTS_PER_ZONE)) {
        break;
      }
    }
    int from = Math.max(0, silent.size() - ANNOUNCEMENTS_PER_ZONE);
    return silent.subList(from, silent.size());
  }

  /** Collects the reports of the subtrees. */
  void collectReports() {
    if (!isLeader) {
      return;
    }
    RoaringBitmap heard = new RoaringBitmap();
    heard.add(acceptor.slot());
    Version proposed = acceptor.held().version();
    for (ReportGroup group : reports.groups()) {
      group.slots().addTo(heard);
      if (group.held().equals(proposed)) {
        group.slots().addTo(acknowledged);
      }
    }
    reachable = heard;
    if (isHeardByQuorum(heard)) {
      quorumHeardAt = context.now();
    }
    joins = reports.joins();
    if (!membership.isChangeNeeded(joins)) {
      joinsSince = Long.MAX_VALUE;
    } else if (joinsSince == Long.MAX_VALUE) {
      joinsSince = context.now();
    }
  }

  private boolean isHeardByQuorum(RoaringBitmap heard) {
    RosterView view = context.view(acceptor.held().roster());
    return isCommitted() ? context.quorum().isQuorum(view, heard) : isQuorumOfBoth(heard);
  }

  private boolean isQuorumOfBoth(RoaringBitmap slots) {
    FleetState state = acceptor.held();
    RoaringBitmap common = RoaringBitmap.and(slots, context.view(state.roster()).slots());
    common.and(context.view(state.previousRoster()).slots());
    return context.quorum().isQuorum(context.view(state.roster()), common)
        && context.quorum().isQuorum(context.view(state.previousRoster()), common);
  }

  /** The reason why the term must end; empty if it need not. */
  String stepDownCause() {
    long seen = Math.max(reports.epoch(), leaderTracker.round().epoch());
    if (seen > epoch) {
      return "epoch " + seen + " was seen";
    }
    long silence = context.now() - quorumHeardAt;
    return silence >= context.settings().electionMillis()
        ? "no quorum was heard for " + silence + " ms"
        : "";
  }

  /** Commits the proposal if a quorum holds it, and makes the next one if it is due. */
  void advance() {
    if (!isLeader) {
      return;
    }
    if (!isCommitted()) {
      acknowledged.add(acceptor.slot());
      if (isQuorumOfBoth(acknowledged) || context.hasFault(SeededFault.COMMIT_BEFORE_QUORUM)) {
        commit();
      }
    }
    if (isCommitted() && context.now() >= nextProposalAt()) {
      proposeNext();
    }
  }

  private boolean isCommitted() {
    return acceptor.held().version().equals(acceptor.committed().version());
  }

  private void commit() {
    acceptor.commitHeld();
    hasCommitted = true;
    decider.onCommitted(acceptor.committed());
    children.scheduleDelivery();
  }

  private long nextProposalAt() {
    long changesAt = decider.queuedSince();
    if (changesAt != Long.MAX_VALUE) {
      changesAt += context.settings().batchWindowMillis();
    }
    long joinsAt =
        joinsSince == Long.MAX_VALUE
            ? Long.MAX_VALUE
            : joinsSince + context.settings().heartbeatMillis() / 2;
    return Math.min(changesAt, joinsAt);
  }

  private void proposeNext() {
    FleetState committed = acceptor.committed();
    RosterStep step = RosterStep.NONE;
    if (membership.isChangeNeeded(joins)) {
      step = membership.nextStep(committed, joins, reachable);
    }
    joinsSince = Long.MAX_VALUE;
    ChangeBatch batch =
        decider.nextBatch(committed, committed.version().next(epoch), documents.current());
    if (step.isEmpty() && batch.isEmpty()) {
      return;
    }
    int remembered = context.settings().rememberedChanges();
    propose(Proposals.next(committed, epoch, step, batch, remembered), committed);
  }

  /** Whether this term has committed anything; no change may be refused before that. */
  boolean hasCommitted() {
    return hasCommitted;
  }

  /** When {@link #tick} or {@link #advance} is due. */
  long nextAt() {
    if (!isLeader) {
      return Long.MAX_VALUE;
    }
    return isCommitted() ? Math.min(nextRoundAt, nextProposalAt()) : nextRoundAt;
  }
}
