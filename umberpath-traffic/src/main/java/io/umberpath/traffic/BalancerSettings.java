package io.umberpath.traffic;

/**
 * Load balancing settings of one edge proxy.
 *
 * @param edgeId unique id of this edge proxy; determines its subset
 * @param zone zone of this edge proxy
 * @param choices backends compared for each request, at least 2
 * @param spillOverLoad utilization, 0 to 10, from which the best local backend is compared with
 *     those of other zones
 * @param remotePenaltySlots slots by which a backend of another zone must be emptier, 0 to 100
 * @param reportHalfLifeMillis half-life of a load report, milliseconds
 * @param slowStartMillis duration of slow start for a new backend, milliseconds
 * @param ejectionFailures consecutive failures that eject a backend, at least 1
 * @param ejectionMillis duration of the first ejection, milliseconds; repeated ones last longer
 * @param connectionLimit connections from edge proxies that the node beside a backend should hold
 * @param connectionsPerEdge connections that one edge proxy may open to the node of one backend
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

  /** Validates the settings; the error names field and value. */
  public BalancerSettings {
    SettingChecks.requireAtLeast("choices", choices, 2);
    SettingChecks.requireBetween("spillOverLoad", spillOverLoad, 0, MAX_SPILL_OVER_LOAD);
    SettingChecks.requireBetween(
        "remotePenaltySlots", remotePenaltySlots, 0, MAX_REMOTE_PENALTY_SLOTS);
    SettingChecks.requireAtLeast("reportHalfLifeMillis", reportHalfLifeMillis, 1);
    SettingChecks.requireAtLeast("slowStartMillis", slowStartMillis, 1);
    SettingChecks.requireAtLeast("ejectionFailures", ejectionFailures, 1);
    SettingChecks.requireAtLeast("ejectionMillis", ejectionMillis, 1);
    SettingChecks.requireAtLeast("connectionLimit", connectionLimit, 1);
    SettingChecks.requireAtLeast("connectionsPerEdge", connectionsPerEdge, 1);
  }

  /**
   * Returns the defaults: two choices, spill-over from half of the slots at a penalty of half a
   * slot, a half-life of reports of 1 s, slow start of 10 s, ejection after 3 failures for 5 s, 130
   * connections per backend, 4 per edge proxy.
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
