package io.umberpath.traffic.simulation;

/**
 * One simulated run: edge proxies of four zones, one pool, Poisson arrivals, exponential service
 * times.
 *
 * @param policy how attempts are placed and limited
 * @param load arrivals against the capacity of all slots
 * @param reportLagMillis time from a back end's load being read until the edge proxies hear it
 * @param loadInResponses whether answers carry the back end's load besides
 * @param misreportingBackends back ends, counted from the first, that always report no load
 * @param slowBackends back ends, counted from the first, that serve at a third of the speed
 * @param seconds measured time, after one second that is not counted
 * @param seed seed of arrivals and service times
 */
record Scenario(
    Policy policy,
    double load,
    long reportLagMillis,
    boolean loadInResponses,
    int misreportingBackends,
    int slowBackends,
    int seconds,
    long seed) {
  static final int BACKENDS = 7;
  static final int SLOTS = 6;
  static final int EDGES = 12;
  static final long SERVICE_MICROS = 5_000;
  static final long DEADLINE_MILLIS = 250;
  static final long REPORT_INTERVAL_MILLIS = 200;
  static final int SLOW_FACTOR = 3;

  /** How attempts are placed and limited. */
  enum Policy {
    /** Round robin, first come first served, no limit, no retry. */
    ROUND_ROBIN,
    /** Round robin with three attempts at once when an attempt takes longer than a third. */
    ROUND_ROBIN_RETRY_THREE,
    /** Round robin before the admission of this project. */
    ROUND_ROBIN_ADMISSION,
    /** Balancing, admission and retries of this project. */
    UMBERPATH
  }

  /** Requests a second that the slots serve. */
  double capacity() {
    double speed = BACKENDS - slowBackends + (double) slowBackends / SLOW_FACTOR;
    return speed * SLOTS * 1e6 / SERVICE_MICROS;
  }

  Scenario withPolicy(Policy other) {
    return new Scenario(
        other,
        load,
        reportLagMillis,
        loadInResponses,
        misreportingBackends,
        slowBackends,
        seconds,
        seed);
  }
}
