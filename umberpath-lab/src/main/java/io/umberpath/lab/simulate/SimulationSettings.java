package io.umberpath.lab.simulate;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Optional;

/**
 * Everything that decides a simulation; equal settings give equal events.
 *
 * @param profile the deployment imitated
 * @param nodes number of node processes
 * @param zones number of zones
 * @param regions number of regions
 * @param changesPerDay operator changes a day, Poisson arrivals
 * @param burstPerSecond operator changes a second during bursts; 0 for none
 * @param endpointChurnPerSecond back ends replaced per second in the platform's document
 * @param faults what goes wrong, times counted from the end of the warm-up
 * @param seed seed of every random choice
 * @param durationNanos virtual time after the warm-up
 * @param control settings of the state machines
 * @param subject which state machine is run
 */
public record SimulationSettings(
    FleetProfile profile,
    int nodes,
    int zones,
    int regions,
    double changesPerDay,
    double burstPerSecond,
    double endpointChurnPerSecond,
    List<FaultEvent> faults,
    long seed,
    long durationNanos,
    ControlTimings control,
    Subject subject) {
  /** Copies the list and checks ranges. */
  public SimulationSettings {
    faults = List.copyOf(faults);
    require(nodes >= 1 && nodes <= 100_000, "--nodes", nodes, "must be between 1 and 100000");
    require(zones >= 1 && zones <= nodes, "--zones", zones, "must be between 1 and --nodes");
    require(
        regions >= 1 && regions <= zones, "--regions", regions, "must be between 1 and --zones");
    require(changesPerDay >= 0, "--changes-per-day", changesPerDay, "must not be negative");
    require(burstPerSecond >= 0, "--burst", burstPerSecond, "must not be negative");
    require(
        endpointChurnPerSecond >= 0,
        "--endpoint-churn-per-second",
        endpointChurnPerSecond,
        "must not be negative");
    require(durationNanos > 0, "--duration", durationNanos, "must be positive");
  }

  /**
   * Which state machine a simulation runs.
   *
   * @param kind the product's or a baseline
   * @param seededFault name of a deliberate fault of the product's, if any
   * @param sharesStates whether nodes share equal immutable states, which saves memory and time but
   *     hides work that real processes do each by themselves; the events are the same
   */
  public record Subject(Kind kind, Optional<String> seededFault, boolean sharesStates) {
    /** Available state machines. */
    public enum Kind {
      /** The product's register and delivery. */
      PRODUCT,
      /** Baseline: one leader pushes the full snapshot to every node. */
      PUSH_ALL,
      /** Baseline: every node polls one server. */
      POLLING
    }

    /** The product without deliberate faults. */
    public static final Subject PRODUCT = new Subject(Kind.PRODUCT, Optional.empty(), true);
  }

  /**
   * Settings of the state machines, see {@link io.umberpath.control.ControlSettings}.
   *
   * @param batchWindowMillis group commit window
   * @param heartbeatMillis leader's heartbeat
   * @param parentStallMillis silence after which a child changes parents
   * @param electionMillis silence after which a node asks for votes
   * @param fanout preferred children
   * @param maxChildren most children
   * @param maxReaders most readers of the platform
   * @param readMillis interval of platform reads
   * @param initialMembers nodes that must be seen before the fleet forms, the rest join; 0 for all
   */
  public record ControlTimings(
      long batchWindowMillis,
      long heartbeatMillis,
      long parentStallMillis,
      long electionMillis,
      int fanout,
      int maxChildren,
      int maxReaders,
      long readMillis,
      int initialMembers) {
    /** The defaults of the node. */
    public static final ControlTimings DEFAULT =
        new ControlTimings(50, 1_000, 3_000, 5_000, 16, 32, 3, 2_000, 0);

    /** The same with another batch window. */
    public ControlTimings withBatchWindow(long millis) {
      return new ControlTimings(
          millis,
          heartbeatMillis,
          parentStallMillis,
          electionMillis,
          fanout,
          maxChildren,
          maxReaders,
          readMillis,
          initialMembers);
    }

    /** The same with another number of first members. */
    public ControlTimings withInitialMembers(int count) {
      return new ControlTimings(
          batchWindowMillis,
          heartbeatMillis,
          parentStallMillis,
          electionMillis,
          fanout,
          maxChildren,
          maxReaders,
          readMillis,
          count);
    }
  }

  /** The profile's own size without faults. */
  public static SimulationSettings of(FleetProfile profile, long seed) {
    return new SimulationSettings(
        profile,
        profile.nodes(),
        profile.zoneCount(),
        profile.regionCount(),
        0,
        0,
        0,
        List.of(),
        seed,
        60 * Durations.SECOND,
        ControlTimings.DEFAULT,
        Subject.PRODUCT);
  }

  /** The same with another seed. */
  public SimulationSettings withSeed(long newSeed) {
    return new SimulationSettings(
        profile,
        nodes,
        zones,
        regions,
        changesPerDay,
        burstPerSecond,
        endpointChurnPerSecond,
        faults,
        newSeed,
        durationNanos,
        control,
        subject);
  }

  /** How many nodes must be seen before the fleet forms. */
  int firstMembers() {
    return control.initialMembers() == 0 ? nodes : Math.min(nodes, control.initialMembers());
  }

  /** Whether every invariant is checked; the baselines do not claim to keep them. */
  @JsonIgnore
  public boolean isChecked() {
    return subject.kind() == Subject.Kind.PRODUCT;
  }

  private static void require(boolean holds, String field, Object value, String message) {
    if (!holds) {
      throw new IllegalArgumentException(field + " '" + value + "' " + message);
    }
  }
}
