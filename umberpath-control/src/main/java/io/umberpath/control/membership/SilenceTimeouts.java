package io.umberpath.control.membership;

/**
 * Timeouts after which a silent node counts as unreachable, derived from how often reports of it
 * are due. They grow with the size of a zone only, not with the total number of nodes.
 *
 * @param nearMillis for a node of the same zone, milliseconds
 * @param farMillis for a node of another zone, milliseconds
 * @param suspectMillis for a node of the same zone, time after which no report is forwarded through
 *     it, milliseconds: shorter, so that the reports it would forward still arrive in time by
 *     another path
 */
public record SilenceTimeouts(long nearMillis, long farMillis, long suspectMillis) {
  /** Interval between two rounds of reports, milliseconds. */
  public static final long ROUND_MILLIS = 250;

  /**
   * Rounds without a report of a node that are tolerated beyond twice the number of hops through
   * the zone: the first path may lead through a node that has failed, which becomes suspect one
   * round later, and a second path is then used.
   */
  private static final int SPARE_ROUNDS = 2;

  /** Number of consecutive reports that must be missing if each comes from the node itself. */
  private static final int MISSED_REPORTS = 3;

  /**
   * Number of consecutive digests that must be missing before nodes of another zone count as
   * silent. Each of two delegates sends one a second, so four datagrams have to be lost.
   */
  private static final int MISSED_DIGESTS = 2;

  /** Maximum delay of a report or digest, milliseconds. */
  private static final long MAX_DELAY_MILLIS = 150;

  /** The timeouts of a node in a zone of the given size, which includes the node. */
  public static SilenceTimeouts of(int zoneNodes) {
    boolean isGossiped = zoneNodes <= GossipRing.MAX_GOSSIP_NODES && GossipRing.hops(zoneNodes) > 1;
    int roundsBetween =
        isGossiped ? GossipRing.hops(zoneNodes) : ReportSchedule.roundsBetweenReports(zoneNodes);
    int rounds = isGossiped ? 2 * roundsBetween + SPARE_ROUNDS : MISSED_REPORTS * roundsBetween;
    int suspectRounds = isGossiped ? roundsBetween + 1 : rounds;
    long near = rounds * ROUND_MILLIS + MAX_DELAY_MILLIS;
    long digests = MISSED_DIGESTS * ReportSchedule.ROUNDS_PER_DIGEST * ROUND_MILLIS;
    long suspect = suspectRounds * ROUND_MILLIS + MAX_DELAY_MILLIS;
    return new SilenceTimeouts(near, near + digests + MAX_DELAY_MILLIS, suspect);
  }
}
