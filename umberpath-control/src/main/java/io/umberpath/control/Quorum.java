package io.umberpath.control;

import org.roaringbitmap.RoaringBitmap;

/**
 * Defines which sets of members of a roster form a quorum. Any two quorums of a roster intersect.
 */
interface Quorum {
  /**
   * Whether the slots contain a quorum of the roster.
   *
   * @param roster the acceptors; an empty roster has no quorum
   * @param slots slots that agreed; slots outside the roster are ignored
   */
  boolean isQuorum(RosterView roster, RoaringBitmap slots);

  /** The rule selected by a setting. */
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
