package io.umberpath.control;

import io.umberpath.control.ControlMessage.Report;
import io.umberpath.control.ControlMessage.ReportGroup;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Version;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import org.roaringbitmap.RoaringBitmap;

/**
 * Gathers what a node's subtree holds and runs and reports it to the parent. Each report is
 * complete. A relay waits a moment for its children, so that one message answers for many.
 */
final class Reports {
  private static final long COALESCE_MILLIS = 20;
  private static final int JOINS_REPEAT = 4;
  private static final Comparator<Key> ORDER =
      Comparator.comparing(Key::held).thenComparing(Key::active).thenComparingLong(Key::revision);

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTrack track;
  private final Children children;
  private final Activation activation;
  private long number;
  private long dueAt = Long.MAX_VALUE;
  private List<Member> lastJoins = List.of();
  private List<Member> joins;
  private long lastSentAt;
  private Version lastHeld = Version.NONE;

  private record Key(Version held, Version active, long revision) {}

  Reports(
      NodeContext context,
      Acceptor acceptor,
      LeaderTrack track,
      Children children,
      Activation activation) {
    this.context = context;
    this.acceptor = acceptor;
    this.track = track;
    this.children = children;
    this.activation = activation;
  }

  /** What the subtree holds and runs, this node included. */
  List<ReportGroup> groups() {
    TreeMap<Key, RoaringBitmap> bySituation = new TreeMap<>(ORDER);
    if (acceptor.isMember()) {
      Key own = new Key(acceptor.held().version(), activation.version(), activation.revision());
      bySituation.computeIfAbsent(own, key -> new RoaringBitmap()).add(acceptor.slot());
    }
    for (Child child : children.all()) {
      for (ReportGroup group : child.groups()) {
        Key key = new Key(group.held(), group.active(), group.revision());
        group.slots().addTo(bySituation.computeIfAbsent(key, any -> new RoaringBitmap()));
      }
    }
    List<ReportGroup> groups = new ArrayList<>();
    bySituation.forEach(
        (key, slots) ->
            groups.add(new ReportGroup(key.held, key.active, key.revision, SlotSet.copyOf(slots))));
    return groups;
  }

  /** The waiting processes changed; the parent learns of it with others within half a heartbeat. */
  void joinsChanged() {
    joins = null;
    dueAt = Math.min(dueAt, Math.max(context.now(), lastSentAt + joinsMillis()));
  }

  private long joinsMillis() {
    return context.settings().heartbeatMillis() / 2;
  }

  /** Processes of the subtree that wait for a seat, newest incarnation per address. */
  List<Member> joins() {
    if (joins == null) {
      joins = gatherJoins();
    }
    return joins;
  }

  private List<Member> gatherJoins() {
    TreeMap<PeerAddress, Member> byAddress = new TreeMap<>();
    if (!acceptor.isMember()) {
      byAddress.put(context.address(), context.process());
    }
    for (Child child : children.all()) {
      for (Member join : child.joins()) {
        byAddress.merge(join.address(), join, (a, b) -> a.incarnation() >= b.incarnation() ? a : b);
      }
    }
    byAddress.values().removeIf(this::isSeated);
    return List.copyOf(byAddress.values());
  }

  private boolean isSeated(Member process) {
    return acceptor
        .committed()
        .roster()
        .at(process.address())
        .filter(seated -> seated.incarnation() >= process.incarnation())
        .isPresent();
  }

  /** Highest epoch promised in the subtree. */
  long epoch() {
    long epoch = acceptor.promised();
    for (Child child : children.all()) {
      epoch = Math.max(epoch, child.epoch());
    }
    return epoch;
  }

  /** Something the parent should know changed, or a round asks for a sign of life. */
  void due() {
    long delay = children.size() == 0 || subtreeHolds() ? 0 : COALESCE_MILLIS;
    dueAt = Math.min(dueAt, context.now() + delay);
  }

  private boolean subtreeHolds() {
    Version held = acceptor.held().version();
    for (Child child : children.all()) {
      if (!child.held().equals(held)) {
        return false;
      }
    }
    return true;
  }

  /** Sends the report if it is due. */
  void flush(PeerAddress parent) {
    if (!acceptor.held().version().equals(lastHeld) || acceptor.wholeStateWanted()) {
      lastHeld = acceptor.held().version();
      due();
    }
    if (context.now() < dueAt) {
      return;
    }
    send(parent);
  }

  /** Sends the report now, for a parent that knows nothing yet. */
  void sendWhole(PeerAddress parent) {
    lastJoins = null;
    send(parent);
  }

  private void send(PeerAddress parent) {
    dueAt = Long.MAX_VALUE;
    lastSentAt = context.now();
    number++;
    List<Member> waiting = joins();
    boolean kept = waiting == lastJoins && number % JOINS_REPEAT != 0;
    lastJoins = waiting;
    context.send(
        parent,
        new Report(
            context.process().incarnation(),
            number,
            epoch(),
            track.round(),
            groups(),
            kept ? List.of() : waiting,
            kept,
            acceptor.wholeStateWanted()));
  }

  /** When {@link #flush} is due. */
  long nextAt() {
    return dueAt;
  }

  /** There is nobody to report to. */
  void cancel() {
    dueAt = Long.MAX_VALUE;
  }
}
