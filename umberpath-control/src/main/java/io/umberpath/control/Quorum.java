package io.umberpath.control;

import org.roaringbitmap.RoaringBitmap;

/** Decides which sets of members may decide for a roster. Any two quorums of a roster intersect. */
interface Quorum {
  /**
   * Whether the slots contain a quorum of the roster.
   *
   * @param roster the acceptors; an empty roster has no quorum
   * @param slots slots that agreed; may name slots outside the roster, which do not count
   */
  boolean isQuorum(RosterView roster, RoaringBitmap slots);

  /** The rule a setting names. */
  static Quorum of(ControlSettings.QuorumRule rule) {
    return switch (rule) {
      case MAJORITY -> new MajorityQuorum();
      case ZONE_MAJORITY -> new ZoneMajorityQuorum();
    };
  }

  /** More than half of the members. */
  final class MajorityQuorum implements Quorum {
    @Override
    public boolean isQuorum(RosterView roster, RoaringBitmap slots) {
      return RoaringBitmap.andCardinality(roster.slots(), slots) * 2 > roster.size();
    }
  }

  /** More than half of the zones, each with more than half of its members. */
  final class ZoneMajorityQuorum implements Quorum {
    @Override
    public boolean isQuorum(RosterView roster, RoaringBitmap slots) {
      int agreed = 0;
      for (RosterView.Zone zone : roster.zones()) {
        if (RoaringBitmap.andCardinality(zone.slots(), slots) * 2 > zone.members().size()) {
          agreed++;
        }
      }
      return agreed * 2 > roster.zones().size();
    }
  }
}
