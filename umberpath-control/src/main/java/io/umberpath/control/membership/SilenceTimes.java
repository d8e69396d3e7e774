package io.umberpath.control.membership;

/**
 * After how much silence a node counts as out of reach, from how often reports of it are due. The
 * times grow only with the size of a zone, not with the number of nodes.
 *
 * @param nearMillis for a node of the own zone, milliseconds
 * @param farMillis for a node of another zone, milliseconds
 * @param quietMillis for a node of the own zone, after which no report travels through it any more,
 *     milliseconds: earlier, so that the reports behind it come another way in time
 */
public record SilenceTimes(long nearMillis, long farMillis, long quietMillis) {
  /** Time between two rounds of reports, milliseconds. */
  public static final long ROUND_MILLIS = 250;

  /**
   * Rounds beyond twice the way through the zone that reports of a node may be missing: the first
   * way meets a node that has died, which is quiet one round later, and another one is taken.
   */
  private static final int SPARE_ROUNDS = 2;

  /** Reports in a row that must be missing where each comes from the node itself. */
  private static final int MISSED_REPORTS = 3;

  /**
   * Digests in a row that must be missing before nodes of another zone count as silent. Each of two
   * delegates sends one a second, so that as many as four datagrams have to be lost.
   */
  private static final int MISSED_DIGESTS = 2;

  /** What a report or digest may be late by, milliseconds. */
  private static final long MAX_DELAY_MILLIS = 150;

  /** The times of a node whose zone has so many nodes, itself included. */
  public static SilenceTimes of(int zoneNodes) {
    boolean isGossiped = zoneNodes <= GossipRing.MAX_GOSSIP_NODES && GossipRing.hops(zoneNodes) > 1;
    int roundsBetween =
        isGossiped ? GossipRing.hops(zoneNodes) : ReportSchedule.roundsBetweenReports(zoneNodes);
    int rounds = isGossiped ? 2 * roundsBetween + SPARE_ROUNDS : MISSED_REPORTS * roundsBetween;
    int quietRounds = isGossiped ? roundsBetween + 1 : rounds;
    long near = rounds * ROUND_MILLIS + MAX_DELAY_MILLIS;
    long digests = MISSED_DIGESTS * ReportSchedule.ROUNDS_PER_DIGEST * ROUND_MILLIS;
    long quiet = quietRounds * ROUND_MILLIS + MAX_DELAY_MILLIS;
    return new SilenceTimes(near, near + digests + MAX_DELAY_MILLIS, quiet);
  }
}
