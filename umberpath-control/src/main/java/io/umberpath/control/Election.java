package io.umberpath.control;

import io.umberpath.control.ControlMessage.FetchState;
import io.umberpath.control.ControlMessage.FetchedState;
import io.umberpath.control.ControlMessage.VoteAnswer;
import io.umberpath.control.ControlMessage.VoteRequest;
import io.umberpath.model.FleetState;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.StateDelta;
import io.umberpath.model.Version;
import io.umberpath.model.Violation;
import io.vavr.control.Either;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Candidate role: detects that there is no leader, requests pre-votes and then binding votes,
 * fetches the newest state found, and decides whether this node may lead.
 */
final class Election {
  private static final int INITIAL_MEMBERS_PER_ZONE = 2;
  private static final int MEMBERS_PER_ZONE_GROWTH = 4;
  private static final int MAX_ATTEMPTS = 6;
  private static final int MAX_BACKOFF_SHIFT = 4;
  private static final int PREFERRED_CANDIDATES = 2;

  /** The result of a successful election. */
  record Victory(long epoch, FleetState state, VoteTally tally, VoteOutcome outcome) {}

  private enum Phase {
    IDLE,
    PRE_VOTE,
    VOTE
  }

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTracker leaderTracker;
  private final Children children;
  private final VoteRelay relay;
  private final ParentSelector parentSelector;
  private final DocumentDistributor documents;
  private final Set<PeerAddress> acceptedLoss = new LinkedHashSet<>();
  private Phase phase = Phase.IDLE;
  private long epoch;
  private long highestSeenEpoch;
  private int attempt;
  private int membersPerZone = INITIAL_MEMBERS_PER_ZONE;
  private int failures;
  private long startAt = -1;
  private long timeoutAt;
  private VoteTally tally = new VoteTally();
  private FleetState newestState = FleetState.EMPTY;
  private Version requestedVersion = Version.NONE;
  private boolean isFullFetchNeeded;

  Election(
      NodeContext context,
      Acceptor acceptor,
      LeaderTracker leaderTracker,
      Children children,
      VoteRelay relay,
      ParentSelector parentSelector,
      DocumentDistributor documents) {
    this.context = context;
    this.acceptor = acceptor;
    this.leaderTracker = leaderTracker;
    this.children = children;
    this.relay = relay;
    this.parentSelector = parentSelector;
    this.documents = documents;
  }

  boolean isCandidate() {
    return phase != Phase.IDLE;
  }

  /** Stops any candidacy because a newer round was received or this node leads. */
  void stop() {
    phase = Phase.IDLE;
    membersPerZone = INITIAL_MEMBERS_PER_ZONE;
    failures = 0;
    acceptedLoss.clear();
    defer();
  }

  /** Postpones this node's candidacy, for example because it voted for another candidate. */
  void defer() {
    long interval = context.settings().electionMillis();
    startAt = Math.max(startAt, context.now() + interval + delay(interval));
  }

  private long delay(long interval) {
    int index = parentSelector.index();
    long quarter = interval / 4;
    if (index >= 0 && index < PREFERRED_CANDIDATES) {
      return index * quarter + context.jitter(failures, quarter);
    }
    long backoff = quarter << Math.min(failures, MAX_BACKOFF_SHIFT);
    return 2 * quarter + context.jitter(failures, 2 * quarter) + backoff - quarter;
  }

  /** Records an epoch used elsewhere; the next candidacy uses a higher one. */
  void observeEpoch(long seenEpoch) {
    highestSeenEpoch = Math.max(highestSeenEpoch, seenEpoch);
  }

  /** Starts an election requested by an operator, who accepts the loss of these members. */
  void reform(Set<PeerAddress> loss) {
    acceptedLoss.addAll(loss);
    startPreVote();
  }

  /** Ends the candidacy, including one requested by an operator. */
  void abandon() {
    phase = Phase.IDLE;
    acceptedLoss.clear();
    defer();
  }

  /** Starts or continues a candidacy if it is due. */
  void tick(boolean mayForm) {
    if (startAt < 0) {
      defer();
    }
    if (phase == Phase.IDLE) {
      boolean isOverdue = acceptor.isMember() && context.now() >= startAt;
      if (isOverdue || (mayForm && context.now() >= timeoutAt)) {
        startPreVote();
      }
      return;
    }
    if (context.now() >= timeoutAt) {
      nextAttempt();
    }
  }

  /** Starts a new candidacy at once, for a leader that stepped down because of a higher epoch. */
  void restart() {
    startVote();
  }

  private void startPreVote() {
    phase = Phase.PRE_VOTE;
    attempt = 0;
    newestState = acceptor.held();
    epoch = Math.max(highestSeenEpoch, acceptor.promised()) + 1;
    requestVotes();
  }

  private void nextAttempt() {
    observeEpoch(tally.promised());
    boolean isOutvoted = phase == Phase.VOTE && tally.promised() > epoch;
    if (isOutvoted || attempt + 1 >= MAX_ATTEMPTS) {
      phase = Phase.IDLE;
      acceptedLoss.clear();
      failures++;
      startAt = context.now() + delay(context.settings().electionMillis());
      timeoutAt = startAt;
      return;
    }
    attempt++;
    membersPerZone =
        Math.min(
            membersPerZone * MEMBERS_PER_ZONE_GROWTH,
            Math.max(INITIAL_MEMBERS_PER_ZONE, largestZone()));
    requestVotes();
  }

  private int largestZone() {
    int largest = 0;
    for (RosterView.Zone zone : context.view(acceptor.held().roster()).zones()) {
      largest = Math.max(largest, zone.members().size());
    }
    return largest;
  }

  private void startVote() {
    phase = Phase.VOTE;
    attempt = 0;
    epoch = Math.max(Math.max(highestSeenEpoch, tally.promised()), acceptor.promised()) + 1;
    requestVotes();
  }

  private void requestVotes() {
    boolean binding = phase == Phase.VOTE;
    Member self = acceptor.self();
    if (binding && !acceptor.promise(epoch, self)) {
      abandon();
      return;
    }
    if (!binding || attempt == 0) {
      tally = new VoteTally();
    }
    if (acceptor.held().version().isAfter(newestState.version())) {
      newestState = acceptor.held();
    }
    requestedVersion = Version.NONE;
    long half = context.settings().electionMillis() / 2;
    timeoutAt = context.now() + half + context.jitter(attempt + epoch, half + 1);
    relay.grant(tally);
    VoteRequest request = new VoteRequest(binding, epoch, self, attempt);
    for (PeerAddress target : targets()) {
      context.send(target, request);
    }
  }

  private Set<PeerAddress> targets() {
    Set<PeerAddress> targets = new LinkedHashSet<>(children.addresses());
    addFirstMembers(targets, context.view(acceptor.held().roster()));
    if (acceptor.held().changesRoster()) {
      addFirstMembers(targets, context.view(acceptor.held().previousRoster()));
    }
    if (!acceptor.isMember() || attempt > 1) {
      targets.addAll(context.settings().seeds());
    }
    targets.remove(context.address());
    return targets;
  }

  private void addFirstMembers(Set<PeerAddress> targets, RosterView view) {
    for (RosterView.Zone zone : view.zones()) {
      int count = Math.min(membersPerZone, zone.members().size());
      zone.members().subList(0, count).forEach(member -> targets.add(member.address()));
    }
  }

  /** Handles a vote response addressed to this candidate. */
  Optional<Victory> onVoteAnswer(VoteAnswer answer) {
    boolean binding = phase == Phase.VOTE;
    boolean isCurrent =
        phase != Phase.IDLE
            && answer.binding() == binding
            && answer.epoch() == epoch
            && (binding || answer.attempt() == attempt);
    if (!isCurrent) {
      return Optional.empty();
    }
    tally.add(answer);
    return evaluate();
  }

  /** Evaluates the votes and continues with the next phase if they suffice. */
  Optional<Victory> evaluate() {
    if (phase == Phase.IDLE) {
      return Optional.empty();
    }
    if (tally.highest().isAfter(newestState.version())) {
      requestNewestState();
      return Optional.empty();
    }
    VoteOutcome outcome =
        VoteOutcome.evaluate(context, newestState, documents.current(), tally, acceptedLoss);
    if (outcome == VoteOutcome.INSUFFICIENT) {
      return Optional.empty();
    }
    if (phase == Phase.PRE_VOTE) {
      startVote();
      return evaluate();
    }
    phase = Phase.IDLE;
    return Optional.of(new Victory(epoch, newestState, tally, outcome));
  }

  private void requestNewestState() {
    Version wanted = tally.highest();
    if (wanted.equals(requestedVersion)) {
      return;
    }
    requestedVersion = wanted;
    Version held = isFullFetchNeeded ? Version.NONE : newestState.version();
    tally
        .holderOfHighest(attempt)
        .ifPresent(holder -> context.send(holder, new FetchState(epoch, wanted, held)));
  }

  /** Handles a fetched state. */
  Optional<Victory> onFetchedState(FetchedState message) {
    if (phase == Phase.IDLE || message.epoch() != epoch) {
      return Optional.empty();
    }
    FleetState state = newestState;
    for (StateDelta delta : message.deltas()) {
      Either<Violation, FleetState> result = context.shared().apply(delta, state);
      if (result.isLeft()) {
        isFullFetchNeeded = true;
        requestedVersion = Version.NONE;
        return Optional.empty();
      }
      state = result.get();
    }
    isFullFetchNeeded = false;
    if (state.version().isAfter(newestState.version())) {
      newestState = state;
      acceptor.logDeltas(message.deltas());
    }
    return evaluate();
  }

  /** When {@link #tick} is due. */
  long nextAt(boolean mayForm) {
    if (phase != Phase.IDLE || mayForm) {
      return timeoutAt;
    }
    return acceptor.isMember() ? startAt : Long.MAX_VALUE;
  }
}
