package io.umberpath.traffic.simulation;

/**
 * One simulated run: edge proxies of four zones, one pool, Poisson arrivals, exponential service
 * times.
 *
 * @param policy how attempts are balanced and limited
 * @param load arrival rate relative to the capacity of all slots
 * @param reportLagMillis delay between measuring a backend's load and its arrival at the edge
 *     proxies
 * @param loadInResponses whether responses carry the backend's load in addition
 * @param misreportingBackends backends, counted from the first, that always report no load
 * @param slowBackends backends, counted from the first, that serve at a third of the speed
 * @param seconds measured time, after a warm-up of one second
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

  /** How attempts are balanced and limited. */
  enum Policy {
    /** Round robin, first come first served, without limits or retries. */
    ROUND_ROBIN,
    /**
     * Round robin; sends another attempt, up to three, whenever a third of the deadline has passed
     * without a response.
     */
    ROUND_ROBIN_RETRY_THREE,
    /** Round robin in front of the admission control of this project. */
    ROUND_ROBIN_ADMISSION,
    /** Load balancing, admission control and retries of this project. */
    UMBERPATH
  }

  /** Capacity of all slots, requests per second. */
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
