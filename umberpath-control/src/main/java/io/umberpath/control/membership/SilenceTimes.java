package io.umberpath.control.membership;

/**
 * After how much silence a node counts as out of reach, from how often reports of it are due. The
 * times grow only with the size of a zone, not with the number of nodes.
 *
 * @param nearMillis for a node of the own zone, milliseconds
 * @param farMillis for a node of another zone, milliseconds
 */
public record SilenceTimes(long nearMillis, long farMillis) {
  /** Time between two rounds of reports, milliseconds. */
  public static final long ROUND_MILLIS = 250;

  /** Reports in a row that must be missing before a node of the own zone counts as silent. */
  private static final int MISSED_REPORTS = 3;

  /**
   * Digests in a row that must be missing before nodes of another zone count as silent. Each of two
   * delegates sends one a second, so that as many as four datagrams have to be lost.
   */
  private static final int MISSED_DIGESTS = 2;

  /** What a report or digest may be late by, milliseconds. */
  private static final long LATE_MILLIS = 150;

  /** The times of a node whose zone has so many nodes, itself included. */
  public static SilenceTimes of(int zoneNodes) {
    long reports = MISSED_REPORTS * ReportSchedule.roundsBetweenReports(zoneNodes) * ROUND_MILLIS;
    long near = reports + LATE_MILLIS;
    long digests = MISSED_DIGESTS * ReportSchedule.ROUNDS_PER_DIGEST * ROUND_MILLIS;
    return new SilenceTimes(near, near + digests + LATE_MILLIS);
  }
}
