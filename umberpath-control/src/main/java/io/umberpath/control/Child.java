package io.umberpath.control;

import io.umberpath.control.ControlMessage.Report;
import io.umberpath.control.ControlMessage.ReportGroup;
import io.umberpath.control.ControlMessage.Round;
import io.umberpath.model.Member;
import io.umberpath.model.Version;
import java.util.List;
import java.util.Optional;

/** A parent's view of one child and its subtree. */
final class Child {
  private Member process;
  private Version held;
  private Version sent;
  private long sentAt;
  private long heardAt;
  private long reportNumber = -1;
  private long epoch;
  private Round round = Round.NONE;
  private List<ReportGroup> groups = List.of();
  private long groupsNumber = -1;
  private boolean needsCompleteReport;
  private List<Member> joins = List.of();
  private boolean joinsChanged;

  Child(Member process, Version held, long now) {
    this.process = process;
    this.held = held;
    this.sent = held;
    this.heardAt = now;
  }

  Member process() {
    return process;
  }

  /** Handles another attachment of the same process. */
  void reattach(Member member, Version newHeld, long now) {
    process = member;
    held = newHeld;
    sent = newHeld;
    heardAt = now;
    reportNumber = -1;
    groupsNumber = -1;
  }

  /**
   * Applies a report.
   *
   * @param slot the child's own slot, or {@link Member#NO_SLOT}
   * @return whether the state of the subtree changed; a late report is ignored
   */
  boolean applyReport(Report report, int slot, long now) {
    boolean otherProcess = report.incarnation() != process.incarnation();
    if (otherProcess || report.number() <= reportNumber) {
      return false;
    }
    heardAt = now;
    reportNumber = report.number();
    boolean changed = applyGroups(report) | epoch != report.epoch();
    epoch = report.epoch();
    round = report.round();
    if (!report.joinsKept()) {
      joinsChanged |= !joins.equals(report.joins());
      joins = report.joins();
    }
    held = report.wholeStateWanted() ? Version.NONE : heldBySlot(slot);
    if (report.wholeStateWanted()) {
      sent = Version.NONE;
    }
    return changed;
  }

  private boolean applyGroups(Report report) {
    boolean formerKnown = groupsNumber == report.number() - 1;
    Optional<List<ReportGroup>> former = formerKnown ? Optional.of(groups) : Optional.empty();
    Optional<List<ReportGroup>> complete = ReportDifference.complete(former, report.groups());
    needsCompleteReport = complete.isEmpty();
    if (needsCompleteReport) {
      return false;
    }
    boolean changed = !groups.equals(complete.get());
    groups = complete.get();
    groupsNumber = report.number();
    return changed;
  }

  /**
   * Whether the last report is based on one that did not arrive, so that a complete report is
   * needed.
   */
  boolean needsCompleteReport() {
    return needsCompleteReport;
  }

  private Version heldBySlot(int slot) {
    for (ReportGroup group : groups) {
      if (slot != Member.NO_SLOT && group.slots().contains(slot)) {
        return group.held();
      }
    }
    return Version.NONE;
  }

  Version held() {
    return held;
  }

  Version sent() {
    return sent;
  }

  void markSent(Version version, long now) {
    sent = version;
    sentAt = now;
  }

  /**
   * Resets what was sent to what the child reports, so that deltas it did not apply are sent again.
   */
  void resetSent() {
    sent = held;
  }

  long sentAt() {
    return sentAt;
  }

  long heardAt() {
    return heardAt;
  }

  long epoch() {
    return epoch;
  }

  List<ReportGroup> groups() {
    return groups;
  }

  /** The newest round that the child had received at its last report. */
  Round round() {
    return round;
  }

  /** Whether every member of the subtree holds the version. */
  boolean allMembersHold(Version version) {
    return groups.stream().allMatch(group -> group.held().equals(version));
  }

  /** Whether every member of the subtree runs the pair. */
  boolean allMembersRun(Version version, long revision) {
    return groups.stream()
        .allMatch(group -> group.active().equals(version) && group.revision() == revision);
  }

  /** Whether the processes waiting to join changed since the last call. */
  boolean takeJoinsChanged() {
    boolean taken = joinsChanged;
    joinsChanged = false;
    return taken;
  }

  List<Member> joins() {
    return joins;
  }
}
