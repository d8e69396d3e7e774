package io.umberpath.control;

import io.umberpath.model.FleetState;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Roster;
import io.umberpath.model.StateDelta;
import io.umberpath.model.Version;
import io.umberpath.model.Violation;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Acceptor role of the replicated register: holds the promised epoch, the newest accepted state and
 * the newest state known to be committed. Epochs and versions only increase.
 */
final class Acceptor {
  private static final int RECENT_STATES = 4;

  private final NodeContext context;
  private final DeltaLog deltaLog = new DeltaLog();
  private final Deque<FleetState> recentStates = new ArrayDeque<>();
  private FleetState held = FleetState.EMPTY;
  private FleetState committed = FleetState.EMPTY;
  private Version committedVersion = Version.NONE;
  private Version lastRejected = Version.NONE;
  private long promised;
  private PeerAddress promisedTo;
  private long promisedIncarnation;
  private int slot = Member.NO_SLOT;
  private boolean isFullStateNeeded;

  Acceptor(NodeContext context) {
    this.context = context;
  }

  FleetState held() {
    return held;
  }

  FleetState committed() {
    return committed;
  }

  /** The newest version known to be committed, whether this node holds it or not. */
  Version committedVersion() {
    return committedVersion;
  }

  long promised() {
    return promised;
  }

  /** The slot of this process, or {@link Member#NO_SLOT} while no settled roster contains it. */
  int slot() {
    return slot;
  }

  boolean isMember() {
    return slot != Member.NO_SLOT;
  }

  /** This process with its slot. */
  Member self() {
    return context.process().withSlot(slot);
  }

  /** Whether a delta was rejected, so that only a full state can bring this node up to date. */
  boolean isFullStateNeeded() {
    return isFullStateNeeded;
  }

  /**
   * Promises not to accept anything below the epoch.
   *
   * @return whether the promise was given; an epoch is promised to only one candidate
   */
  boolean promise(long epoch, Member candidate) {
    if (epoch == promised) {
      return candidate.address().equals(promisedTo)
          && candidate.incarnation() == promisedIncarnation;
    }
    if (epoch < promised) {
      return false;
    }
    promised = epoch;
    promisedTo = candidate.address();
    promisedIncarnation = candidate.incarnation();
    return true;
  }

  /** Records that an epoch has a leader. */
  void observeEpoch(long epoch) {
    if (epoch > promised) {
      promised = epoch;
      promisedTo = null;
    }
  }

  /**
   * Logs the deltas of a state that a candidate fetched, so that they can be sent to other nodes.
   */
  void logDeltas(List<StateDelta> deltas) {
    deltas.forEach(deltaLog::add);
  }

  /** Accepts this node's own proposal as leader. */
  void accept(StateDelta delta, FleetState state) {
    deltaLog.add(delta);
    accept(state);
  }

  private void accept(FleetState state) {
    held = state;
    recentStates.addLast(state);
    while (recentStates.size() > RECENT_STATES) {
      recentStates.removeFirst();
    }
    isFullStateNeeded = false;
    updateSlot();
  }

  /**
   * Accepts states from a leader, where each delta applies to the state before it. Nothing is
   * accepted unless all deltas apply completely and lead to a state of a promised epoch whose
   * roster contains this process.
   */
  void receive(List<StateDelta> deltas, Version newCommittedVersion) {
    learnCommitted(newCommittedVersion);
    FleetState state = held;
    List<FleetState> reached = new ArrayList<>();
    List<StateDelta> applied = new ArrayList<>();
    for (StateDelta delta : deltas) {
      if (!delta.isWholeState() && !delta.base().equals(state.version())) {
        continue;
      }
      Either<Violation, FleetState> result = context.shared().apply(delta, state);
      if (result.isLeft()) {
        reject(delta, result.getLeft());
        return;
      }
      state = result.get();
      reached.add(state);
      applied.add(delta);
    }
    if (isAcceptable(state, reached)) {
      applied.forEach(deltaLog::add);
      reached.subList(0, reached.size() - 1).forEach(recentStates::addLast);
      accept(state);
    }
    learnCommitted(newCommittedVersion);
  }

  private void reject(StateDelta delta, Violation violation) {
    isFullStateNeeded = true;
    if (!delta.target().equals(lastRejected)) {
      lastRejected = delta.target();
      context.notice("state-refused", "version " + delta.target() + ": " + violation);
    }
  }

  private boolean isAcceptable(FleetState state, List<FleetState> reached) {
    if (!state.version().isAfter(held.version()) || state.version().epoch() < promised) {
      return false;
    }
    return isMember()
        || reached.stream().anyMatch(each -> findSlot(committedOrSettled(each)) != Member.NO_SLOT);
  }

  /** The roster of a state if it is settled or known to be committed; empty otherwise. */
  private Roster committedOrSettled(FleetState state) {
    boolean known = state.version().equals(committedVersion);
    return known || !state.changesRoster() ? state.roster() : Roster.EMPTY;
  }

  private void learnCommitted(Version newVersion) {
    if (newVersion.isAfter(committedVersion)) {
      committedVersion = newVersion;
    }
    if (committed.version().equals(committedVersion)) {
      return;
    }
    for (FleetState state : recentStates) {
      if (state.version().equals(committedVersion)) {
        committed = state;
        updateSlot();
        return;
      }
    }
  }

  /** Marks the held state as committed, as leader. */
  void commitHeld() {
    learnCommitted(held.version());
  }

  private void updateSlot() {
    int committedSlot = findSlot(committed.roster());
    slot = committedSlot != Member.NO_SLOT ? committedSlot : findSlot(committedOrSettled(held));
  }

  private int findSlot(Roster roster) {
    Optional<Member> member = roster.at(context.address());
    boolean anyIncarnation = context.hasFault(SeededFault.SKIP_INCARNATION_RULE);
    return member
        .filter(found -> anyIncarnation || found.isSameProcess(context.process()))
        .map(Member::slot)
        .orElse(Member.NO_SLOT);
  }

  /**
   * The deltas that bring a node from the given version to the held state.
   *
   * @param from version that the node holds; {@link Version#NONE} to get a full state
   */
  List<StateDelta> catchUpDeltas(Version from) {
    if (from.equals(held.version()) || held.version().equals(Version.NONE)) {
      return List.of();
    }
    if (!from.equals(Version.NONE)) {
      Optional<List<StateDelta>> chain = deltaLog.chain(from, held.version());
      if (chain.isPresent()) {
        return chain.get();
      }
    }
    if (committed.version().equals(Version.NONE) || committed == held) {
      return List.of(context.shared().fullState(held));
    }
    List<StateDelta> deltas = new ArrayList<>();
    deltas.add(context.shared().fullState(committed));
    deltas.addAll(
        deltaLog
            .chain(committed.version(), held.version())
            .orElseGet(() -> List.of(context.shared().fullState(held))));
    return deltas;
  }
}
