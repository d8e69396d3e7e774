package io.umberpath.control;

import io.umberpath.model.Member;
import io.umberpath.model.Roster;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.roaringbitmap.RoaringBitmap;

/**
 * Assigns the nodes that may read the platform. Of the fleet's {@code maxReaders}, half (at least
 * one) are assigned by the leader and read while they receive its heartbeats. The others are
 * standby readers for partitions without a leader and follow from the roster alone: the lowest
 * slots of the first zones. An assigned reader that is lost keeps its place until its permission
 * has certainly expired, so that the limit also holds during partitions.
 */
final class ReaderAssignment {
  private static final int RELAY_STALL_TIMEOUTS = 2;
  private static final int ROTATION_READS = 60;

  private final NodeContext context;
  private final Map<Integer, Long> assignedSince = new LinkedHashMap<>();
  private final Map<Integer, Long> expiryBySlot = new LinkedHashMap<>();
  private long assignFrom;
  private int lastAssigned = Member.NO_SLOT;

  ReaderAssignment(NodeContext context) {
    this.context = context;
  }

  /** Number of readers that a leader assigns. */
  static int activeReaders(int maxReaders) {
    return maxReaders <= 0 ? 0 : Math.max(1, maxReaders / 2);
  }

  /** How long an assigned reader may read after the last round that contained it, milliseconds. */
  static long permissionMillis(ControlSettings settings) {
    return settings.electionMillis();
  }

  /** The standby readers of a roster, for partitions without a leader. */
  static List<Member> standbyReaders(RosterView view, int maxReaders) {
    List<Member> heads = view.zoneHeads();
    int count = Math.max(0, maxReaders - activeReaders(maxReaders));
    return heads.subList(0, Math.min(count, heads.size()));
  }

  /**
   * Begins a term. Readers assigned by a previous leader may continue until their permission
   * expires.
   *
   * @param hasNoReaders whether no previous leader can have assigned any
   */
  void beginTerm(boolean hasNoReaders) {
    assignedSince.clear();
    expiryBySlot.clear();
    assignFrom = hasNoReaders ? context.now() : context.now() + expiryMillis();
  }

  /**
   * Time after which a reader assigned by another leader has certainly stopped: relays and that
   * leader detect that they are cut off, then the permission expires.
   */
  private long expiryMillis() {
    ControlSettings settings = context.settings();
    long leaderNotices =
        settings.electionMillis() + RELAY_STALL_TIMEOUTS * settings.parentStallMillis();
    return leaderNotices + permissionMillis(settings);
  }

  /** The readers for the next round. */
  List<Integer> assign(Roster roster, RoaringBitmap reachable) {
    long now = context.now();
    if (now < assignFrom) {
      return List.of();
    }
    expiryBySlot.values().removeIf(endsAt -> now >= endsAt);
    long rotation = ROTATION_READS * context.settings().readMillis();
    List<Integer> dropped = new ArrayList<>();
    assignedSince.forEach(
        (slot, since) -> {
          boolean isGone = !reachable.contains(slot) || roster.withSlot(slot).isEmpty();
          if (isGone || (now - since >= rotation && dropped.isEmpty())) {
            dropped.add(slot);
          }
        });
    for (int slot : dropped) {
      assignedSince.remove(slot);
      expiryBySlot.put(slot, now + expiryMillis());
    }
    int free =
        activeReaders(context.settings().maxReaders()) - assignedSince.size() - expiryBySlot.size();
    for (int count = 0; count < free; count++) {
      assignNext(roster, reachable);
    }
    return List.copyOf(assignedSince.keySet());
  }

  /** Assigns the next reachable member after the last one assigned, in slot order. */
  private void assignNext(Roster roster, RoaringBitmap reachable) {
    Member first = null;
    Member next = null;
    for (Member member : roster.members()) {
      int slot = member.slot();
      if (!reachable.contains(slot)
          || assignedSince.containsKey(slot)
          || expiryBySlot.containsKey(slot)) {
        continue;
      }
      first = first == null ? member : first;
      if (slot > lastAssigned) {
        next = member;
        break;
      }
    }
    Member chosen = next == null ? first : next;
    if (chosen != null) {
      lastAssigned = chosen.slot();
      assignedSince.put(chosen.slot(), context.now());
    }
  }
}
