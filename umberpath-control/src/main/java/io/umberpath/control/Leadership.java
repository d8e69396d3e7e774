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
 * The leader's part of the register: heartbeats, one proposal at a time, commits by quorum, and the
 * end of the term when the quorum or the epoch is lost.
 */
final class Leadership {
  private static final int ANNOUNCE_PER_ZONE = 3;

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTrack track;
  private final Children children;
  private final Reports reports;
  private final Membership membership;
  private final ChangeDecider decider;
  private final ReaderNaming readerNaming;
  private final DocumentSpread documents;
  private final RoaringBitmap acknowledged = new RoaringBitmap();
  private RoaringBitmap reachable = new RoaringBitmap();
  private boolean leads;
  private boolean settled;
  private long epoch;
  private long round;
  private long nextRoundAt;
  private long quorumAt;
  private long joinsSince = Long.MAX_VALUE;
  private List<Member> joins = List.of();

  Leadership(
      NodeContext context,
      Acceptor acceptor,
      LeaderTrack track,
      Children children,
      Reports reports,
      ChangeDecider decider,
      ReaderNaming readerNaming,
      DocumentSpread documents) {
    this.context = context;
    this.acceptor = acceptor;
    this.track = track;
    this.children = children;
    this.reports = reports;
    this.membership = new Membership(context);
    this.decider = decider;
    this.readerNaming = readerNaming;
    this.documents = documents;
  }

  boolean leads() {
    return leads;
  }

  long epoch() {
    return epoch;
  }

  /** Slots heard lately, this node included; not to be changed. */
  RoaringBitmap reachable() {
    return reachable;
  }

  /** Begins a term: proposes the state found again, or re-forms the fleet. */
  void start(Election.Victory victory) {
    leads = true;
    settled = false;
    epoch = victory.epoch();
    round = 0;
    quorumAt = context.now();
    joinsSince = Long.MAX_VALUE;
    joins = List.of();
    membership.reset();
    decider.beginTerm(epoch);
    FleetState found = victory.state();
    if (victory.verdict() == VoteVerdict.QUORUM) {
      propose(Proposals.again(found, epoch, victory.tally().settles(found)), found);
    } else {
      RosterStep step = Membership.reformed(found, victory.tally());
      propose(Proposals.reformed(found, epoch, step), found);
      noticeReformed(victory.verdict(), step);
    }
    readerNaming.beginTerm(victory.verdict() == VoteVerdict.NEW_FLEET);
    context.notice("leader-elected", context.address() + " leads epoch " + epoch);
    beat();
  }

  private void noticeReformed(VoteVerdict verdict, RosterStep step) {
    if (verdict == VoteVerdict.NEW_FLEET) {
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
    acceptor.hold(delta, next);
    acknowledged.clear();
    children.deliveryDue();
  }

  /** Ends the term; changes that were not proposed have not run. */
  void stepDown(String cause) {
    leads = false;
    track.forgetLeader();
    decider.endTerm();
    context.notice("leader-stepped-down", "epoch " + epoch + ": " + cause);
  }

  /** Sends a heartbeat if it is due and checks that a quorum is heard. */
  void tick() {
    if (leads && context.now() >= nextRoundAt) {
      children.expire();
      collect();
      beat();
    }
  }

  private void beat() {
    round++;
    nextRoundAt = context.now() + context.settings().heartbeatMillis();
    membership.scan(acceptor.committed().roster(), reachable, documents.current());
    List<Integer> readers = readerNaming.name(acceptor.committed().roster(), reachable);
    Deliver own =
        new Deliver(
            new Round(epoch, round),
            context.address(),
            acceptor.slot(),
            acceptor.committed().version(),
            documents.stated(),
            List.of(),
            readers);
    track.hear(own, true);
    children.deliveryDue();
    announce(own);
  }

  /** Tells the first unreachable members of each zone, and machines without a seat, who leads. */
  private void announce(Deliver own) {
    for (RosterView.Zone zone : context.view(acceptor.held().roster()).zones()) {
      int heard = RoaringBitmap.andCardinality(zone.slots(), reachable);
      if (heard == zone.members().size()) {
        continue;
      }
      for (PeerAddress peer : announcees(zone)) {
        context.send(peer, own);
      }
    }
    membership.unseated(round).forEach(peer -> context.send(peer, own));
  }

  private List<PeerAddress> announcees(RosterView.Zone zone) {
    List<PeerAddress> silent = new ArrayList<>();
    for (Member member : zone.members()) {
      if (!reachable.contains(member.slot()) && !member.address().equals(context.address())) {
        silent.add(member.address());
      }
      if (silent.size() >= ANNOUNCE_PER_ZONE * (1 + round % ANNOUNCE_PER_ZONE)) {
        break;
      }
    }
    int from = Math.max(0, silent.size() - ANNOUNCE_PER_ZONE);
    return silent.subList(from, silent.size());
  }

  /** Gathers what the subtrees report. */
  void collect() {
    if (!leads) {
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
      quorumAt = context.now();
    }
    joins = reports.joins();
    if (!membership.isWanted(joins)) {
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

  /** Why the term must end, or an empty text. */
  String lostCause() {
    long seen = Math.max(reports.epoch(), track.round().epoch());
    if (seen > epoch) {
      return "epoch " + seen + " was seen";
    }
    long silence = context.now() - quorumAt;
    return silence >= context.settings().electionMillis()
        ? "no quorum was heard for " + silence + " ms"
        : "";
  }

  /** Commits the proposal if a quorum holds it, and makes the next one if it is time. */
  void advance() {
    if (!leads) {
      return;
    }
    if (!isCommitted()) {
      acknowledged.add(acceptor.slot());
      if (isQuorumOfBoth(acknowledged) || context.has(SeededFault.COMMIT_BEFORE_QUORUM)) {
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
    settled = true;
    decider.committed(acceptor.committed());
    children.deliveryDue();
  }

  private long nextProposalAt() {
    long changesAt = decider.waitingSince();
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
    if (membership.isWanted(joins)) {
      step = membership.next(committed, joins, reachable);
    }
    joinsSince = Long.MAX_VALUE;
    ChangeBatch batch =
        decider.batch(committed, committed.version().next(epoch), documents.current());
    if (step.isEmpty() && batch.isEmpty()) {
      return;
    }
    int remembered = context.settings().rememberedChanges();
    propose(Proposals.next(committed, epoch, step, batch, remembered), committed);
  }

  /** Whether this term committed anything yet; before, no change may be refused. */
  boolean isSettled() {
    return settled;
  }

  /** When {@link #tick} or {@link #advance} is due. */
  long nextAt() {
    if (!leads) {
      return Long.MAX_VALUE;
    }
    return isCommitted() ? Math.min(nextRoundAt, nextProposalAt()) : nextRoundAt;
  }
}
