package io.umberpath.traffic;

/**
 * How one edge proxy balances.
 *
 * @param edgeId identity of this edge proxy, different at each; decides its subset
 * @param zone zone of this edge proxy
 * @param choices back ends compared for each request, at least 2
 * @param spillOverLoad share of its slots, 0 to 10, from which the best local back end is compared
 *     with those of other zones
 * @param remotePenaltySlots slots by which a back end of another zone must be emptier, at least 0
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
  /** Checks the settings; the error names field and value. */
  public BalancerSettings {
    Settings.atLeast("choices", choices, 2);
    Settings.between("spillOverLoad", spillOverLoad, 0, 10);
    Settings.between("remotePenaltySlots", remotePenaltySlots, 0, 100);
    Settings.atLeast("reportHalfLifeMillis", reportHalfLifeMillis, 1);
    Settings.atLeast("slowStartMillis", slowStartMillis, 1);
    Settings.atLeast("ejectionFailures", ejectionFailures, 1);
    Settings.atLeast("ejectionMillis", ejectionMillis, 1);
    Settings.atLeast("connectionLimit", connectionLimit, 1);
    Settings.atLeast("connectionsPerEdge", connectionsPerEdge, 1);
  }

  /**
   * Defaults: two choices, spill-over from half of the slots at a penalty of 1.3, reports count
   * half after 1 s, slow start of 10 s, ejection after 3 failures for 5 s, 130 connections a back
   * end, 4 an edge proxy.
   */
  public static BalancerSettings of(String edgeId, String zone) {
    return new BalancerSettings(edgeId, zone, 2, 0.5, 0.5, 1_000, 10_000, 3, 5_000, 130, 4);
  }
}
