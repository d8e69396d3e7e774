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

/** The parent's side of the relay tree: admits children, delivers to them, takes their reports. */
final class Children {
  private static final int REDIRECT_CANDIDATES = 4;
  private static final int RESEND_HEARTBEATS = 2;

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTrack track;
  private final DocumentSpread documents;
  private final Map<PeerAddress, Child> children = new LinkedHashMap<>();
  private boolean deliveryDue;
  private boolean changed;
  private boolean joinsChanged;
  private long lastDeliveryAt;

  Children(NodeContext context, Acceptor acceptor, LeaderTrack track, DocumentSpread documents) {
    this.context = context;
    this.acceptor = acceptor;
    this.track = track;
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

  boolean has(PeerAddress peer) {
    return children.containsKey(peer);
  }

  /** Something new must go to every child before the current input is done. */
  void deliveryDue() {
    deliveryDue = true;
  }

  /** Whether the processes that wait for a seat may have changed since the last call. */
  boolean takeJoinsChanged() {
    boolean taken = joinsChanged;
    joinsChanged = false;
    return taken;
  }

  /** Whether reports or children changed since the last call. */
  boolean takeChanged() {
    boolean taken = changed;
    changed = false;
    return taken;
  }

  /**
   * Decides about a node that wants to be a child.
   *
   * @param leads whether this node is the leader
   * @param parent this node's own parent
   * @return whether it is a child now
   */
  boolean attach(Attach request, boolean leads, Optional<PeerAddress> parent) {
    PeerAddress peer = request.member().address();
    Child known = children.get(peer);
    if (known != null && known.process().incarnation() > request.member().incarnation()) {
      return false;
    }
    boolean suits = suits(request, leads) && !parent.equals(Optional.of(peer));
    boolean full = known == null && children.size() >= context.settings().maxChildren();
    if (!suits || (full && !makeRoom(request.member(), leads))) {
      context.send(peer, new Redirect(candidates(request, suits)));
      return false;
    }
    if (known != null && known.process().incarnation() == request.member().incarnation()) {
      known.attachAgain(request.member(), request.held(), context.now());
    } else {
      children.put(peer, new Child(request.member(), request.held(), context.now()));
      joinsChanged = true;
    }
    changed |= request.member().slot() != Member.NO_SLOT;
    if (children.size() == 1) {
      lastDeliveryAt = context.now();
    }
    context.send(peer, new AttachAccepted(delivery(children.get(peer))));
    return true;
  }

  /** Sends a child away for one that has a better claim to the place. */
  private boolean makeRoom(Member newcomer, boolean leads) {
    int claim = claim(newcomer, leads);
    PeerAddress weakest = null;
    for (Map.Entry<PeerAddress, Child> entry : children.entrySet()) {
      Member process = entry.getValue().process();
      int otherClaim = claim(process.withSlot(slotOf(process)), leads);
      boolean weaker = otherClaim < claim;
      if (otherClaim == claim && !acceptor.isMember()) {
        weaker = ranksBefore(newcomer.address(), process.address());
      }
      if (weaker && (weakest == null || ranksBefore(weakest, entry.getKey()))) {
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
   * 0 for a process without a seat, 2 for a member whose place in the tree is here, 1 otherwise.
   */
  private int claim(Member process, boolean leads) {
    if (process.slot() == Member.NO_SLOT) {
      return 0;
    }
    RosterView.Zone zone = context.view(acceptor.committed().roster()).zone(process.zone());
    int index = zone.indexOf(process.slot());
    if (index <= 0) {
      return index == 0 && leads ? 2 : 1;
    }
    Member parent = zone.members().get((index - 1) / context.settings().fanout());
    return parent.address().equals(context.address()) ? 2 : 1;
  }

  private boolean suits(Attach request, boolean leads) {
    if (request.member().address().equals(context.address())) {
      return false;
    }
    if (leads) {
      return true;
    }
    if (!acceptor.isMember()) {
      return request.member().slot() == Member.NO_SLOT
          && request.held().equals(Version.NONE)
          && request.equalSuffices()
          && !track.isFed()
          && ranksBefore(context.address(), request.member().address());
    }
    if (track.fedRound().newerThan(request.round())) {
      return true;
    }
    boolean lower =
        request.member().slot() == Member.NO_SLOT || acceptor.slot() < request.member().slot();
    return request.equalSuffices() && lower && track.fedRound().equals(request.round());
  }

  /** Processes that are not members order themselves by place among the seeds, then address. */
  private boolean ranksBefore(PeerAddress first, PeerAddress second) {
    int firstRank = rank(first);
    int secondRank = rank(second);
    return firstRank != secondRank ? firstRank < secondRank : first.compareTo(second) < 0;
  }

  private int rank(PeerAddress address) {
    int index = context.settings().seeds().indexOf(address);
    return index >= 0 ? index : Integer.MAX_VALUE;
  }

  private List<PeerAddress> candidates(Attach request, boolean full) {
    if (!full) {
      return track
          .leader()
          .filter(any -> track.heardWithin(stall()))
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
    int start = (int) Spread.of(request.member(), 0, addresses.size());
    for (int index = 0; index < Math.min(REDIRECT_CANDIDATES, addresses.size()); index++) {
      chosen.add(addresses.get((start + index) % addresses.size()));
    }
    chosen.remove(request.member().address());
    return chosen;
  }

  private long stall() {
    return context.settings().parentStallMillis();
  }

  /**
   * Takes a report.
   *
   * @return false if the sender is no child, so that it must look for a parent
   */
  boolean report(PeerAddress from, Report report) {
    Child child = children.get(from);
    if (child == null) {
      return false;
    }
    changed |= child.take(report, slotOf(child.process()), context.now());
    joinsChanged |= child.takeJoinsChanged();
    if (child.isReportWanted()) {
      context.send(from, new AttachAccepted(delivery(child)));
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

  /** Forgets a child. */
  void remove(PeerAddress peer) {
    if (children.remove(peer) != null) {
      changed = true;
      joinsChanged = true;
      context.emit(new ControlOutput.Disconnect(peer));
    }
  }

  /** Forgets children that were not heard for long. */
  void expire() {
    List<PeerAddress> gone = new ArrayList<>();
    children.forEach(
        (peer, child) -> {
          if (context.now() - child.heardAt() > stall()) {
            gone.add(peer);
          }
        });
    for (PeerAddress peer : gone) {
      context.send(peer, new Redirect(List.of()));
      remove(peer);
    }
  }

  /** Sends every child to the peer; a process that is not fed states cannot feed others. */
  void dissolve(PeerAddress successor) {
    for (PeerAddress child : List.copyOf(children.keySet())) {
      context.send(child, new Redirect(List.of(successor)));
      remove(child);
    }
  }

  /** Delivers to every child if something new is due. */
  void flush() {
    if (!deliveryDue) {
      return;
    }
    deliveryDue = false;
    lastDeliveryAt = context.now();
    children.forEach(this::deliver);
  }

  /** Repeats the newest round, so that children know that their parent lives. */
  void keepAlive() {
    if (!children.isEmpty() && context.now() >= nextKeepAlive()) {
      expire();
      deliveryDue = true;
    }
  }

  /** When {@link #keepAlive} is due. */
  long nextKeepAlive() {
    long interval = context.settings().heartbeatMillis() * 3 / 2;
    return children.isEmpty() ? Long.MAX_VALUE : lastDeliveryAt + interval;
  }

  private void deliver(PeerAddress peer, Child child) {
    context.send(peer, delivery(child));
  }

  private Deliver delivery(Child child) {
    List<StateDelta> deltas = List.of();
    if (names(child.process())) {
      long resendMillis = RESEND_HEARTBEATS * context.settings().heartbeatMillis();
      boolean overdue = context.now() - child.sentAt() > resendMillis;
      if (!child.held().equals(child.sent()) && overdue) {
        child.rewind();
      }
      deltas = acceptor.catchUp(child.sent());
      if (!deltas.isEmpty()) {
        child.markSent(acceptor.held().version(), context.now());
      }
    }
    return new Deliver(
        track.fedRound(),
        track.fedLeader().orElse(context.address()),
        track.fedLeaderSlot(),
        acceptor.committed().version(),
        documents.stated(),
        deltas,
        track.readers());
  }

  private boolean names(Member process) {
    boolean anyIncarnation = context.has(SeededFault.SKIP_INCARNATION_RULE);
    return slotOf(process) != Member.NO_SLOT
        || (anyIncarnation && acceptor.held().roster().at(process.address()).isPresent());
  }
}
