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
 * The acceptor's part of the register: promises, the newest state accepted, and the newest state
 * known to be committed. Promises and versions only rise.
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

  /** Newest version known to be committed, whether held or not. */
  Version committedVersion() {
    return committedVersion;
  }

  long promised() {
    return promised;
  }

  /** This process's slot, or {@link Member#NO_SLOT} while no settled roster names it. */
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

  /** Whether a delta was refused and only a whole state helps. */
  boolean isFullStateNeeded() {
    return isFullStateNeeded;
  }

  /**
   * Promises to accept nothing below the epoch.
   *
   * @return whether the promise was given; an epoch is promised to one candidate only
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

  /** Learns that an epoch has a leader. */
  void observeEpoch(long epoch) {
    if (epoch > promised) {
      promised = epoch;
      promisedTo = null;
    }
  }

  /** Remembers the deltas of a state that a candidate fetched, so that it can pass them on. */
  void logDeltas(List<StateDelta> deltas) {
    deltas.forEach(deltaLog::add);
  }

  /** Accepts a leader's own proposal. */
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
   * Takes states from a leader, each delta applying to the one before. Nothing is held unless every
   * delta applies whole and leads to a state of a promised epoch that names this process.
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

  /** The roster of a state that is settled or known to be committed; empty otherwise. */
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

  /** The leader's own commit of what it holds. */
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
   * What a node that holds the given version needs to hold what this one holds.
   *
   * @param from what it holds; {@link Version#NONE} for a whole state
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
