package io.umberpath.control;

import io.umberpath.model.Member;
import io.umberpath.model.Roster;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.roaringbitmap.RoaringBitmap;

/** A roster grouped by zone, with its slots as bitmaps. Immutable; computed once per roster. */
final class RosterView {
  /**
   * Members of one zone.
   *
   * @param name the zone
   * @param members in slot order
   * @param slots their slots; must not be modified
   */
  record Zone(String name, List<Member> members, RoaringBitmap slots) {
    /** Index of a slot among the members, or -1. */
    int indexOf(int slot) {
      return slots.contains(slot) ? slots.rank(slot) - 1 : -1;
    }
  }

  private final int size;
  private final RoaringBitmap slots = new RoaringBitmap();
  private final TreeMap<String, Zone> byName = new TreeMap<>();
  private final List<Zone> zones;
  private final List<Member> zoneHeads = new ArrayList<>();

  RosterView(Roster roster) {
    size = roster.size();
    TreeMap<String, List<Member>> membersByZone = new TreeMap<>();
    for (Member member : roster.members()) {
      slots.add(member.slot());
      membersByZone.computeIfAbsent(member.zone(), name -> new ArrayList<>()).add(member);
    }
    slots.runOptimize();
    for (Map.Entry<String, List<Member>> entry : membersByZone.entrySet()) {
      RoaringBitmap zoneSlots = new RoaringBitmap();
      entry.getValue().forEach(member -> zoneSlots.add(member.slot()));
      zoneSlots.runOptimize();
      byName.put(entry.getKey(), new Zone(entry.getKey(), entry.getValue(), zoneSlots));
    }
    zones = List.copyOf(byName.values());
    zones.forEach(zone -> zoneHeads.add(zone.members().get(0)));
    zoneHeads.sort(Comparator.comparingInt(Member::slot));
  }

  /** All slots; must not be modified. */
  RoaringBitmap slots() {
    return slots;
  }

  int size() {
    return size;
  }

  /** The zones in name order. */
  List<Zone> zones() {
    return zones;
  }

  /** The zone of that name; empty if it has no members. */
  Zone zone(String name) {
    Zone zone = byName.get(name);
    return zone == null ? new Zone(name, List.of(), new RoaringBitmap()) : zone;
  }

  /** The member with the lowest slot of each zone, in slot order; must not be modified. */
  List<Member> zoneHeads() {
    return zoneHeads;
  }
}
