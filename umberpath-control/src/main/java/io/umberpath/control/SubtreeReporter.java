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
 * Collects the versions that a node's subtree holds and runs, and reports them to the parent. A
 * report omits the slots that follow from the previous one; a parent that lacks that one requests a
 * complete report. A relay waits for a bounded time until its whole subtree holds a proposal, runs
 * a commit or has acknowledged a round, so that one message covers all members.
 */
final class SubtreeReporter {
  /**
   * Maximum time that the first report of a proposal waits for members that do not hold it yet,
   * milliseconds.
   */
  private static final long FIRST_REPORT_DELAY_MILLIS = 20;

  /** Later reports of the same proposal wait for a heartbeat interval divided by this. */
  private static final int LATER_REPORT_DELAY_DIVISOR = 10;

  /** Reports of active versions and of rounds wait for a heartbeat interval divided by this. */
  private static final int ACTIVATION_REPORT_DELAY_DIVISOR = 4;

  private static final int REPORTS_PER_FULL_JOINS = 4;
  private static final Comparator<Key> ORDER =
      Comparator.comparing(Key::held).thenComparing(Key::active).thenComparingLong(Key::revision);

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTracker leaderTracker;
  private final Children children;
  private final Activation activation;
  private long number;
  private long dueSince = Long.MAX_VALUE;
  private long joinsDueAt = Long.MAX_VALUE;
  private List<Member> lastJoins = List.of();
  private List<Member> joins;
  private long lastSentAt;
  private Version lastHeld = Version.NONE;
  private Version lastReportedVersion = Version.NONE;
  private Version lastFullyReportedVersion = Version.NONE;
  private long reportedEpoch;
  private List<ReportGroup> lastGroups = List.of();

  private record Key(Version held, Version active, long revision) {}

  SubtreeReporter(
      NodeContext context,
      Acceptor acceptor,
      LeaderTracker leaderTracker,
      Children children,
      Activation activation) {
    this.context = context;
    this.acceptor = acceptor;
    this.leaderTracker = leaderTracker;
    this.children = children;
    this.activation = activation;
  }

  /** The versions that the subtree holds and runs, including this node. */
  List<ReportGroup> groups() {
    TreeMap<Key, RoaringBitmap> slotsByKey = new TreeMap<>(ORDER);
    if (acceptor.isMember()) {
      Key own = new Key(acceptor.held().version(), activation.version(), activation.revision());
      slotsByKey.computeIfAbsent(own, key -> new RoaringBitmap()).add(acceptor.slot());
    }
    for (Child child : children.all()) {
      for (ReportGroup group : child.groups()) {
        Key key = new Key(group.held(), group.active(), group.revision());
        group.slots().addTo(slotsByKey.computeIfAbsent(key, any -> new RoaringBitmap()));
      }
    }
    List<ReportGroup> groups = new ArrayList<>();
    slotsByKey.forEach(
        (key, slots) ->
            groups.add(new ReportGroup(key.held, key.active, key.revision, SlotSet.copyOf(slots))));
    return groups;
  }

  /**
   * Schedules a report because the processes waiting to join changed; the parent receives it within
   * half a heartbeat, combined with other changes.
   */
  void onJoinsChanged() {
    joins = null;
    joinsDueAt = Math.min(joinsDueAt, Math.max(context.now(), lastSentAt + joinsDelayMillis()));
  }

  private long joinsDelayMillis() {
    return context.settings().heartbeatMillis() / 2;
  }

  /** Processes of the subtree that wait for a slot, newest incarnation per address. */
  List<Member> joins() {
    if (joins == null) {
      joins = collectJoins();
    }
    return joins;
  }

  private List<Member> collectJoins() {
    TreeMap<PeerAddress, Member> byAddress = new TreeMap<>();
    if (!acceptor.isMember()) {
      byAddress.put(context.address(), context.process());
    }
    for (Child child : children.all()) {
      for (Member join : child.joins()) {
        byAddress.merge(join.address(), join, (a, b) -> a.incarnation() >= b.incarnation() ? a : b);
      }
    }
    byAddress.values().removeIf(this::isMember);
    return List.copyOf(byAddress.values());
  }

  private boolean isMember(Member process) {
    return acceptor
        .committed()
        .roster()
        .at(process.address())
        .filter(member -> member.incarnation() >= process.incarnation())
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

  /** Schedules a report because relevant state changed or a round requires a sign of life. */
  void schedule() {
    dueSince = Math.min(dueSince, context.now());
  }

  /** The latest time at which the report must be sent. */
  private long deadline() {
    if (dueSince == Long.MAX_VALUE) {
      return joinsDueAt;
    }
    return Math.min(joinsDueAt, dueSince + delayMillis());
  }

  private long delayMillis() {
    long heartbeat = context.settings().heartbeatMillis();
    Version held = acceptor.held().version();
    boolean allHold = isHeldBySubtree(held);
    if (epoch() != reportedEpoch || acceptor.isFullStateNeeded()) {
      return 0;
    }
    if (!allHold) {
      return held.equals(lastReportedVersion)
          ? heartbeat / LATER_REPORT_DELAY_DIVISOR
          : Math.min(FIRST_REPORT_DELAY_MILLIS, heartbeat / LATER_REPORT_DELAY_DIVISOR);
    }
    return !held.equals(lastFullyReportedVersion) || isSubtreeCurrent()
        ? 0
        : heartbeat / ACTIVATION_REPORT_DELAY_DIVISOR;
  }

  private boolean isHeldBySubtree(Version held) {
    return children.all().stream().allMatch(child -> child.allMembersHold(held));
  }

  /**
   * Whether the whole subtree runs the same versions as this node and has acknowledged the round.
   */
  private boolean isSubtreeCurrent() {
    for (Child child : children.all()) {
      boolean runs = child.allMembersRun(activation.version(), activation.revision());
      if (!runs || leaderTracker.deliveredRound().newerThan(child.round())) {
        return false;
      }
    }
    return true;
  }

  /** Sends the report if it is due. */
  void flush(PeerAddress parent) {
    if (!acceptor.held().version().equals(lastHeld) || acceptor.isFullStateNeeded()) {
      lastHeld = acceptor.held().version();
      schedule();
    }
    if (context.now() >= deadline()) {
      send(parent);
    }
  }

  /** Sends a complete report immediately, for a parent that lacks the previous one. */
  void sendComplete(PeerAddress parent) {
    lastJoins = null;
    lastGroups = List.of();
    send(parent);
  }

  private void send(PeerAddress parent) {
    cancel();
    recordReported();
    lastSentAt = context.now();
    number++;
    List<Member> waiting = joins();
    boolean joinsUnchanged = waiting == lastJoins && number % REPORTS_PER_FULL_JOINS != 0;
    lastJoins = waiting;
    List<ReportGroup> groups = groups();
    List<ReportGroup> difference = ReportDifference.between(lastGroups, groups);
    lastGroups = groups;
    context.send(
        parent,
        new Report(
            context.process().incarnation(),
            number,
            epoch(),
            leaderTracker.round(),
            difference,
            joinsUnchanged ? List.of() : waiting,
            joinsUnchanged,
            acceptor.isFullStateNeeded()));
  }

  private void recordReported() {
    reportedEpoch = epoch();
    lastReportedVersion = acceptor.held().version();
    if (isHeldBySubtree(lastReportedVersion)) {
      lastFullyReportedVersion = lastReportedVersion;
    }
  }

  /** When {@link #flush} is due. */
  long nextAt() {
    return deadline();
  }

  /** Cancels the scheduled report. */
  void cancel() {
    dueSince = Long.MAX_VALUE;
    joinsDueAt = Long.MAX_VALUE;
  }
}
