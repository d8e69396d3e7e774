package io.umberpath.control;

import io.umberpath.control.ControlMessage.ReportGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.roaringbitmap.RoaringBitmap;

/**
 * Shortens a report relative to the sender's previous one. The slots of its largest group are
 * omitted (empty) if they are exactly the slots of the previous report that no other group
 * contains. While a subtree keeps its members, the size of a report therefore does not depend on
 * their number.
 */
final class ReportDifference {
  private ReportDifference() {}

  /**
   * Computes the groups to send.
   *
   * @param former complete groups of the previous report
   * @param groups complete groups of this report
   */
  static List<ReportGroup> between(List<ReportGroup> former, List<ReportGroup> groups) {
    int largest = largest(groups);
    if (largest < 0) {
      return groups;
    }
    List<ReportGroup> shortened = new ArrayList<>(groups);
    ReportGroup group = groups.get(largest);
    shortened.set(largest, withSlots(group, SlotSet.EMPTY));
    return remainder(former, shortened).equals(group.slots()) ? shortened : groups;
  }

  /**
   * Restores the complete groups of a report.
   *
   * @param former complete groups of the report with the preceding number; empty if it is unknown
   * @return empty if the report is based on a previous one that is unknown
   */
  static Optional<List<ReportGroup>> complete(
      Optional<List<ReportGroup>> former, List<ReportGroup> groups) {
    if (groups.stream().allMatch(group -> group.slots().size() > 0)) {
      return Optional.of(groups);
    }
    return former.map(known -> fillRemainder(known, groups));
  }

  private static List<ReportGroup> fillRemainder(
      List<ReportGroup> former, List<ReportGroup> groups) {
    SlotSet remainder = remainder(former, groups);
    List<ReportGroup> complete = new ArrayList<>();
    for (ReportGroup group : groups) {
      complete.add(group.slots().size() > 0 ? group : withSlots(group, remainder));
    }
    return List.copyOf(complete);
  }

  private static int largest(List<ReportGroup> groups) {
    int largest = -1;
    for (int index = 0; index < groups.size(); index++) {
      if (largest < 0 || groups.get(index).slots().size() > groups.get(largest).slots().size()) {
        largest = index;
      }
    }
    return largest;
  }

  private static SlotSet remainder(List<ReportGroup> former, List<ReportGroup> groups) {
    RoaringBitmap slots = union(former);
    slots.andNot(union(groups));
    return SlotSet.copyOf(slots);
  }

  private static RoaringBitmap union(List<ReportGroup> groups) {
    RoaringBitmap slots = new RoaringBitmap();
    groups.forEach(group -> group.slots().addTo(slots));
    return slots;
  }

  private static ReportGroup withSlots(ReportGroup group, SlotSet slots) {
    return new ReportGroup(group.held(), group.active(), group.revision(), slots);
  }
}
