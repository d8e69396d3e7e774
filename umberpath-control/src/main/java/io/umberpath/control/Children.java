package io.umberpath.control;

import io.umberpath.control.ControlMessage.Attach;
import io.umberpath.control.ControlMessage.AttachAccepted;
import io.umberpath.control.ControlMessage.Deliver;
import io.umberpath.control.ControlMessage.Redirect;
import io.umberpath.control.ControlMessage.Report;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Roster;
import io.umberpath.model.StateDelta;
import io.umberpath.model.Version;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Parent side of the relay tree: admits children, delivers states to them and processes their
 * reports.
 */
final class Children {
  private static final int REDIRECT_CANDIDATES = 4;
  private static final int RESEND_HEARTBEATS = 2;

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTracker leaderTracker;
  private final DocumentDistributor documents;
  private final Map<PeerAddress, Child> children = new LinkedHashMap<>();
  private boolean isDeliveryDue;
  private boolean hasChanged;
  private boolean haveJoinsChanged;
  private long lastDeliveryAt;

  Children(
      NodeContext context,
      Acceptor acceptor,
      LeaderTracker leaderTracker,
      DocumentDistributor documents) {
    this.context = context;
    this.acceptor = acceptor;
    this.leaderTracker = leaderTracker;
    this.documents = documents;
  }

  Collection<Child> all() {
    return children.values();
  }

  Collection<PeerAddress> addresses() {
    return children.keySet();
  }

  int size() {
    return children.size();
  }

  boolean contains(PeerAddress peer) {
    return children.containsKey(peer);
  }

  /** Schedules a delivery to every child at the end of the current input. */
  void scheduleDelivery() {
    isDeliveryDue = true;
  }

  /** Whether the processes waiting for a slot may have changed since the last call. */
  boolean takeJoinsChanged() {
    boolean taken = haveJoinsChanged;
    haveJoinsChanged = false;
    return taken;
  }

  /** Whether reports or children changed since the last call. */
  boolean takeChanged() {
    boolean taken = hasChanged;
    hasChanged = false;
    return taken;
  }

  /**
   * Admits or redirects a node that requests to become a child.
   *
   * @param isLeader whether this node is the leader
   * @param parent this node's own parent
   * @return whether it is now a child
   */
  boolean attach(Attach request, boolean isLeader, Optional<PeerAddress> parent) {
    PeerAddress peer = request.member().address();
    Child known = children.get(peer);
    if (known != null && known.process().incarnation() > request.member().incarnation()) {
      return false;
    }
    boolean isEligible = isEligible(request, isLeader) && !parent.equals(Optional.of(peer));
    boolean isFull = known == null && children.size() >= context.settings().maxChildren();
    if (!isEligible || (isFull && !evictWeakerChild(request.member(), isLeader))) {
      context.send(peer, new Redirect(redirectCandidates(request, isEligible)));
      return false;
    }
    if (known != null && known.process().incarnation() == request.member().incarnation()) {
      known.reattach(request.member(), request.held(), context.now());
    } else {
      children.put(peer, new Child(request.member(), request.held(), context.now()));
      haveJoinsChanged = true;
    }
    hasChanged |= request.member().slot() != Member.NO_SLOT;
    if (children.size() == 1) {
      lastDeliveryAt = context.now();
    }
    context.send(peer, new AttachAccepted(buildDelivery(children.get(peer))));
    return true;
  }

  /** Redirects a child to free its place for a newcomer with a higher priority. */
  private boolean evictWeakerChild(Member newcomer, boolean isLeader) {
    int newcomerPriority = priority(newcomer, isLeader);
    PeerAddress weakest = null;
    for (Map.Entry<PeerAddress, Child> entry : children.entrySet()) {
      Member process = entry.getValue().process();
      int childPriority = priority(process.withSlot(slotOf(process)), isLeader);
      boolean isWeaker = childPriority < newcomerPriority;
      if (childPriority == newcomerPriority && !acceptor.isMember()) {
        isWeaker = ranksBefore(newcomer.address(), process.address());
      }
      if (isWeaker && (weakest == null || ranksBefore(weakest, entry.getKey()))) {
        weakest = entry.getKey();
      }
    }
    if (weakest == null) {
      return false;
    }
    context.send(weakest, new Redirect(List.of(newcomer.address())));
    remove(weakest);
    return true;
  }

  /**
   * Priority of a process as a child: 0 for a process without a slot, 2 for a member whose place in
   * the tree is below this node, 1 otherwise.
   */
  private int priority(Member process, boolean isLeader) {
    if (process.slot() == Member.NO_SLOT) {
      return 0;
    }
    RosterView.Zone zone = context.view(acceptor.committed().roster()).zone(process.zone());
    int index = zone.indexOf(process.slot());
    if (index <= 0) {
      return index == 0 && isLeader ? 2 : 1;
    }
    Member parent = zone.members().get((index - 1) / context.settings().fanout());
    return parent.address().equals(context.address()) ? 2 : 1;
  }

  private boolean isEligible(Attach request, boolean isLeader) {
    if (request.member().address().equals(context.address())) {
      return false;
    }
    if (isLeader) {
      return true;
    }
    if (!acceptor.isMember()) {
      return request.member().slot() == Member.NO_SLOT
          && request.held().equals(Version.NONE)
          && request.equalSuffices()
          && !leaderTracker.isDeliveryCurrent()
          && ranksBefore(context.address(), request.member().address());
    }
    if (leaderTracker.deliveredRound().newerThan(request.round())) {
      return true;
    }
    boolean hasLowerSlot =
        request.member().slot() == Member.NO_SLOT || acceptor.slot() < request.member().slot();
    return request.equalSuffices()
        && hasLowerSlot
        && leaderTracker.deliveredRound().equals(request.round());
  }

  /**
   * Processes that are not members are ordered by their position among the seeds, then by address.
   */
  private boolean ranksBefore(PeerAddress first, PeerAddress second) {
    int firstRank = rank(first);
    int secondRank = rank(second);
    return firstRank != secondRank ? firstRank < secondRank : first.compareTo(second) < 0;
  }

  private int rank(PeerAddress address) {
    int index = context.settings().seeds().indexOf(address);
    return index >= 0 ? index : Integer.MAX_VALUE;
  }

  private List<PeerAddress> redirectCandidates(Attach request, boolean isFull) {
    if (!isFull) {
      return leaderTracker
          .leader()
          .filter(any -> leaderTracker.isHeardWithin(stallMillis()))
          .map(List::of)
          .orElse(List.of());
    }
    List<PeerAddress> addresses = new ArrayList<>();
    children.forEach(
        (peer, child) -> {
          if (slotOf(child.process()) != Member.NO_SLOT || !acceptor.isMember()) {
            addresses.add(peer);
          }
        });
    List<PeerAddress> chosen = new ArrayList<>();
    int start = (int) Jitter.of(request.member(), 0, addresses.size());
    for (int index = 0; index < Math.min(REDIRECT_CANDIDATES, addresses.size()); index++) {
      chosen.add(addresses.get((start + index) % addresses.size()));
    }
    chosen.remove(request.member().address());
    return chosen;
  }

  private long stallMillis() {
    return context.settings().parentStallMillis();
  }

  /**
   * Handles a report.
   *
   * @return false if the sender is not a child and must find another parent
   */
  boolean onReport(PeerAddress from, Report report) {
    Child child = children.get(from);
    if (child == null) {
      return false;
    }
    hasChanged |= child.applyReport(report, slotOf(child.process()), context.now());
    haveJoinsChanged |= child.takeJoinsChanged();
    if (child.needsCompleteReport()) {
      context.send(from, new AttachAccepted(buildDelivery(child)));
    } else if (report.wholeStateWanted()) {
      deliver(from, child);
    }
    return true;
  }

  private int slotOf(Member process) {
    int slot = slotIn(acceptor.committed().roster(), process);
    return slot != Member.NO_SLOT ? slot : slotIn(acceptor.held().roster(), process);
  }

  private static int slotIn(Roster roster, Member process) {
    return roster
        .at(process.address())
        .filter(process::isSameProcess)
        .map(Member::slot)
        .orElse(Member.NO_SLOT);
  }

  /** Removes a child. */
  void remove(PeerAddress peer) {
    if (children.remove(peer) != null) {
      hasChanged = true;
      haveJoinsChanged = true;
      context.emit(new ControlOutput.Disconnect(peer));
    }
  }

  /** Removes children that have not reported within the stall timeout. */
  void expire() {
    List<PeerAddress> expired = new ArrayList<>();
    children.forEach(
        (peer, child) -> {
          if (context.now() - child.heardAt() > stallMillis()) {
            expired.add(peer);
          }
        });
    for (PeerAddress peer : expired) {
      context.send(peer, new Redirect(List.of()));
      remove(peer);
    }
  }

  /**
   * Redirects every child to the peer, because a process that receives no states cannot relay any.
   */
  void redirectAll(PeerAddress successor) {
    for (PeerAddress child : List.copyOf(children.keySet())) {
      context.send(child, new Redirect(List.of(successor)));
      remove(child);
    }
  }

  /** Delivers to every child if a delivery is scheduled. */
  void flush() {
    if (!isDeliveryDue) {
      return;
    }
    isDeliveryDue = false;
    lastDeliveryAt = context.now();
    children.forEach(this::deliver);
  }

  /** Resends the newest round, so that children know that their parent is alive. */
  void keepAlive() {
    if (!children.isEmpty() && context.now() >= nextKeepAlive()) {
      expire();
      isDeliveryDue = true;
    }
  }

  /** When {@link #keepAlive} is due. */
  long nextKeepAlive() {
    long interval = context.settings().heartbeatMillis() * 3 / 2;
    return children.isEmpty() ? Long.MAX_VALUE : lastDeliveryAt + interval;
  }

  private void deliver(PeerAddress peer, Child child) {
    context.send(peer, buildDelivery(child));
  }

  private Deliver buildDelivery(Child child) {
    List<StateDelta> deltas = List.of();
    if (isInRoster(child.process())) {
      long resendMillis = RESEND_HEARTBEATS * context.settings().heartbeatMillis();
      boolean isOverdue = context.now() - child.sentAt() > resendMillis;
      if (!child.held().equals(child.sent()) && isOverdue) {
        child.resetSent();
      }
      deltas = acceptor.catchUpDeltas(child.sent());
      if (!deltas.isEmpty()) {
        child.markSent(acceptor.held().version(), context.now());
      }
    }
    return new Deliver(
        leaderTracker.deliveredRound(),
        leaderTracker.deliveredLeader().orElse(context.address()),
        leaderTracker.deliveredLeaderSlot(),
        acceptor.committed().version(),
        documents.statedRevision(),
        deltas,
        leaderTracker.readers());
  }

  private boolean isInRoster(Member process) {
    boolean anyIncarnation = context.hasFault(SeededFault.SKIP_INCARNATION_RULE);
    return slotOf(process) != Member.NO_SLOT
        || (anyIncarnation && acceptor.held().roster().at(process.address()).isPresent());
  }
}
