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
 * The candidate's part: notices that no leader is heard, asks for statements of intent (pre-votes),
 * then for promises, fetches the newest state found, and says when this node may lead.
 */
final class Election {
  private static final int FIRST_PREFIX = 2;
  private static final int PREFIX_GROWTH = 4;
  private static final int MAX_ATTEMPTS = 6;
  private static final int MAX_BACKOFF_SHIFT = 4;
  private static final int LOW_INDEX = 2;

  /** What this node may do with the votes it has. */
  record Victory(long epoch, FleetState state, VoteTally tally, VoteVerdict verdict) {}

  private enum Phase {
    IDLE,
    INTENT,
    BINDING
  }

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTrack track;
  private final Children children;
  private final VoteRelay relay;
  private final ParentChoice choice;
  private final DocumentSpread documents;
  private final Set<PeerAddress> acceptedLoss = new LinkedHashSet<>();
  private Phase phase = Phase.IDLE;
  private long epoch;
  private long highestSeen;
  private int attempt;
  private int prefix = FIRST_PREFIX;
  private int failures;
  private long deadline = -1;
  private long timeoutAt;
  private VoteTally tally = new VoteTally();
  private FleetState adopted = FleetState.EMPTY;
  private Version fetching = Version.NONE;
  private boolean fetchWhole;

  Election(
      NodeContext context,
      Acceptor acceptor,
      LeaderTrack track,
      Children children,
      VoteRelay relay,
      ParentChoice choice,
      DocumentSpread documents) {
    this.context = context;
    this.acceptor = acceptor;
    this.track = track;
    this.children = children;
    this.relay = relay;
    this.choice = choice;
    this.documents = documents;
  }

  boolean isCandidate() {
    return phase != Phase.IDLE;
  }

  /** A newer round was heard, or this node leads: no election is wanted. */
  void quiet() {
    phase = Phase.IDLE;
    prefix = FIRST_PREFIX;
    failures = 0;
    acceptedLoss.clear();
    defer();
  }

  /** Another candidate got this node's vote; let it try first. */
  void defer() {
    long interval = context.settings().electionMillis();
    deadline = Math.max(deadline, context.now() + interval + delay(interval));
  }

  private long delay(long interval) {
    int index = choice.index();
    long quarter = interval / 4;
    if (index >= 0 && index < LOW_INDEX) {
      return index * quarter + context.spread(failures, quarter);
    }
    long backoff = quarter << Math.min(failures, MAX_BACKOFF_SHIFT);
    return 2 * quarter + context.spread(failures, 2 * quarter) + backoff - quarter;
  }

  /** An epoch was seen somewhere; the next candidacy goes above it. */
  void seen(long seenEpoch) {
    highestSeen = Math.max(highestSeen, seenEpoch);
  }

  /** An operator wants the fleet re-formed although these members are silent. */
  void reform(Set<PeerAddress> loss) {
    acceptedLoss.addAll(loss);
    startIntent();
  }

  /** Ends a candidacy; an operator's call ends with it. */
  void abandon() {
    phase = Phase.IDLE;
    acceptedLoss.clear();
    defer();
  }

  /** Starts or continues a candidacy if it is time. */
  void tick(boolean mayForm) {
    if (deadline < 0) {
      defer();
    }
    if (phase == Phase.IDLE) {
      boolean overdue = acceptor.isMember() && context.now() >= deadline;
      if (overdue || (mayForm && context.now() >= timeoutAt)) {
        startIntent();
      }
      return;
    }
    if (context.now() >= timeoutAt) {
      nextAttempt();
    }
  }

  /** A leader that saw a higher epoch stands again at once. */
  void standAgain() {
    startBinding();
  }

  private void startIntent() {
    phase = Phase.INTENT;
    attempt = 0;
    adopted = acceptor.held();
    epoch = Math.max(highestSeen, acceptor.promised()) + 1;
    ask();
  }

  private void nextAttempt() {
    seen(tally.promised());
    boolean outbid = phase == Phase.BINDING && tally.promised() > epoch;
    if (outbid || attempt + 1 >= MAX_ATTEMPTS) {
      phase = Phase.IDLE;
      acceptedLoss.clear();
      failures++;
      deadline = context.now() + delay(context.settings().electionMillis());
      timeoutAt = deadline;
      return;
    }
    attempt++;
    prefix = Math.min(prefix * PREFIX_GROWTH, Math.max(FIRST_PREFIX, largestZone()));
    ask();
  }

  private int largestZone() {
    int largest = 0;
    for (RosterView.Zone zone : context.view(acceptor.held().roster()).zones()) {
      largest = Math.max(largest, zone.members().size());
    }
    return largest;
  }

  private void startBinding() {
    phase = Phase.BINDING;
    attempt = 0;
    epoch = Math.max(Math.max(highestSeen, tally.promised()), acceptor.promised()) + 1;
    ask();
  }

  private void ask() {
    boolean binding = phase == Phase.BINDING;
    Member self = acceptor.self();
    if (binding && !acceptor.promise(epoch, self)) {
      abandon();
      return;
    }
    if (!binding || attempt == 0) {
      tally = new VoteTally();
    }
    if (acceptor.held().version().isAfter(adopted.version())) {
      adopted = acceptor.held();
    }
    fetching = Version.NONE;
    long half = context.settings().electionMillis() / 2;
    timeoutAt = context.now() + half + context.spread(attempt + epoch, half + 1);
    relay.grant(tally);
    VoteRequest request = new VoteRequest(binding, epoch, self, attempt);
    for (PeerAddress target : targets()) {
      context.send(target, request);
    }
  }

  private Set<PeerAddress> targets() {
    Set<PeerAddress> targets = new LinkedHashSet<>(children.addresses());
    addHeads(targets, context.view(acceptor.held().roster()));
    if (acceptor.held().changesRoster()) {
      addHeads(targets, context.view(acceptor.held().previousRoster()));
    }
    if (!acceptor.isMember() || attempt > 1) {
      targets.addAll(context.settings().seeds());
    }
    targets.remove(context.address());
    return targets;
  }

  private void addHeads(Set<PeerAddress> targets, RosterView view) {
    for (RosterView.Zone zone : view.zones()) {
      int count = Math.min(prefix, zone.members().size());
      zone.members().subList(0, count).forEach(member -> targets.add(member.address()));
    }
  }

  /** Takes an answer that is meant for this candidate. */
  Optional<Victory> answer(VoteAnswer answer) {
    boolean binding = phase == Phase.BINDING;
    boolean current =
        phase != Phase.IDLE
            && answer.binding() == binding
            && answer.epoch() == epoch
            && (binding || answer.attempt() == attempt);
    if (!current) {
      return Optional.empty();
    }
    tally.add(answer);
    return evaluate();
  }

  /** Decides whether the votes suffice; goes on to the next phase if they do. */
  Optional<Victory> evaluate() {
    if (phase == Phase.IDLE) {
      return Optional.empty();
    }
    if (tally.highest().isAfter(adopted.version())) {
      fetch();
      return Optional.empty();
    }
    VoteVerdict verdict =
        VoteVerdict.of(context, adopted, documents.current(), tally, acceptedLoss);
    if (verdict == VoteVerdict.INSUFFICIENT) {
      return Optional.empty();
    }
    if (phase == Phase.INTENT) {
      startBinding();
      return evaluate();
    }
    phase = Phase.IDLE;
    return Optional.of(new Victory(epoch, adopted, tally, verdict));
  }

  private void fetch() {
    Version wanted = tally.highest();
    if (wanted.equals(fetching)) {
      return;
    }
    fetching = wanted;
    Version held = fetchWhole ? Version.NONE : adopted.version();
    tally
        .holderOfHighest(attempt)
        .ifPresent(holder -> context.send(holder, new FetchState(epoch, wanted, held)));
  }

  /** Takes a state that was asked for. */
  Optional<Victory> fetched(FetchedState message) {
    if (phase == Phase.IDLE || message.epoch() != epoch) {
      return Optional.empty();
    }
    FleetState state = adopted;
    for (StateDelta delta : message.deltas()) {
      Either<Violation, FleetState> result = context.shared().apply(delta, state);
      if (result.isLeft()) {
        fetchWhole = true;
        fetching = Version.NONE;
        return Optional.empty();
      }
      state = result.get();
    }
    fetchWhole = false;
    if (state.version().isAfter(adopted.version())) {
      adopted = state;
      acceptor.remember(message.deltas());
    }
    return evaluate();
  }

  /** When {@link #tick} is due. */
  long nextAt(boolean mayForm) {
    if (phase != Phase.IDLE || mayForm) {
      return timeoutAt;
    }
    return acceptor.isMember() ? deadline : Long.MAX_VALUE;
  }
}
