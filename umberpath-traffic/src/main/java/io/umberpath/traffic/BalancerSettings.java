package io.umberpath.traffic;

/**
 * How one edge proxy balances.
 *
 * @param edgeId identity of this edge proxy, different at each; decides its subset
 * @param zone zone of this edge proxy
 * @param choices back ends compared for each request, at least 2
 * @param spillOverLoad share of its slots, 0 to 10, from which the best local back end is compared
 *     with those of other zones
 * @param remotePenaltySlots slots by which a back end of another zone must be emptier, 0 to 100
 * @param reportHalfLifeMillis age at which a load report counts half, milliseconds
 * @param slowStartMillis time in which a new back end's share rises to the full one, milliseconds
 * @param ejectionFailures failures in a row that eject a back end, at least 1
 * @param ejectionMillis first ejection, milliseconds; repeated ones last longer
 * @param connectionLimit connections from edge proxies that the node beside a back end should hold
 * @param connectionsPerEdge connections one edge proxy may open to one back end's node
 */
public record BalancerSettings(
    String edgeId,
    String zone,
    int choices,
    double spillOverLoad,
    double remotePenaltySlots,
    long reportHalfLifeMillis,
    long slowStartMillis,
    int ejectionFailures,
    long ejectionMillis,
    int connectionLimit,
    int connectionsPerEdge) {
  private static final int DEFAULT_CHOICES = 2;
  private static final double DEFAULT_SPILL_OVER_LOAD = 0.5;
  private static final double DEFAULT_REMOTE_PENALTY_SLOTS = 0.5;
  private static final long DEFAULT_REPORT_HALF_LIFE_MILLIS = 1_000;
  private static final long DEFAULT_SLOW_START_MILLIS = 10_000;
  private static final int DEFAULT_EJECTION_FAILURES = 3;
  private static final long DEFAULT_EJECTION_MILLIS = 5_000;
  private static final int DEFAULT_CONNECTION_LIMIT = 130;
  private static final int DEFAULT_CONNECTIONS_PER_EDGE = 4;
  private static final double MAX_SPILL_OVER_LOAD = 10;
  private static final double MAX_REMOTE_PENALTY_SLOTS = 100;

  /** Checks the settings; the error names field and value. */
  public BalancerSettings {
    Settings.atLeast("choices", choices, 2);
    Settings.between("spillOverLoad", spillOverLoad, 0, MAX_SPILL_OVER_LOAD);
    Settings.between("remotePenaltySlots", remotePenaltySlots, 0, MAX_REMOTE_PENALTY_SLOTS);
    Settings.atLeast("reportHalfLifeMillis", reportHalfLifeMillis, 1);
    Settings.atLeast("slowStartMillis", slowStartMillis, 1);
    Settings.atLeast("ejectionFailures", ejectionFailures, 1);
    Settings.atLeast("ejectionMillis", ejectionMillis, 1);
    Settings.atLeast("connectionLimit", connectionLimit, 1);
    Settings.atLeast("connectionsPerEdge", connectionsPerEdge, 1);
  }

  /**
   * Defaults: two choices, spill-over from half of the slots at a penalty of half a slot, reports
   * count half after 1 s, slow start of 10 s, ejection after 3 failures for 5 s, 130 connections a
   * back end, 4 an edge proxy.
   */
  public static BalancerSettings of(String edgeId, String zone) {
    return new BalancerSettings(
        edgeId,
        zone,
        DEFAULT_CHOICES,
        DEFAULT_SPILL_OVER_LOAD,
        DEFAULT_REMOTE_PENALTY_SLOTS,
        DEFAULT_REPORT_HALF_LIFE_MILLIS,
        DEFAULT_SLOW_START_MILLIS,
        DEFAULT_EJECTION_FAILURES,
        DEFAULT_EJECTION_MILLIS,
        DEFAULT_CONNECTION_LIMIT,
        DEFAULT_CONNECTIONS_PER_EDGE);
  }
}
