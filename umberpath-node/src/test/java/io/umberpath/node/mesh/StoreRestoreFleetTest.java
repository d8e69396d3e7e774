package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * During frequent changes the store is down for a second and is restored from a copy a second old,
 * while it refuses a third of the nodes and one zone is partitioned off for 1.5 s. {@code
 * UMBERPATH_FLEET_SIZES=300,1000} runs larger fleets.
 */
final class StoreRestoreFleetTest {
  private static final long SEED = 90_801;
  private static final long BOUND_MILLIS = 2_000;
  private static final int BACKENDS = 12;
  private static final long CHANGE_INTERVAL_MILLIS = 250;
  private static final long CHANGES_BEGIN = 6_000;
  private static final long BACKEND_DRAINS = 8_600;
  private static final long STORE_LOST = 9_000;
  private static final long STORE_RESTORED = 10_000;
  private static final long LOST_CHANGES_REWRITTEN = 10_500;
  private static final long PARTITION_BEGINS = 9_500;
  private static final long PARTITION_ENDS = 11_000;
  private static final long CHANGES_END = 13_000;
  private static final long END = 17_000;

  /**
   * Limit of the store calls of a reader after the loss of the store: its watches and failed calls.
   */
  private static final int CALLS_PER_READER = 40;

  private record Change(long version, long atMillis) {}

  private final StoreModel store = new StoreModel();
  private final List<Change> changes = new ArrayList<>();
  private long version = 1;

  static Stream<Integer> sizes() {
    String sizes = System.getenv().getOrDefault("UMBERPATH_FLEET_SIZES", "12,95");
    return Stream.of(sizes.split(",")).map(Integer::parseInt);
  }

  private void writeConfiguration(SimulatedFleet fleet) {
    version++;
    store.put("configuration", "booking@" + version);
    changes.add(new Change(version, fleet.now()));
    fleet.onStoreChange();
  }

  private void drainBackend(SimulatedFleet fleet) {
    store.put("b-0", "1000@0@booking@DRAINING");
    fleet.onStoreChange();
  }

  private int changesSince(long millis) {
    return (int) changes.stream().filter(change -> change.atMillis() >= millis).count();
  }

  private void restoreStore(SimulatedFleet fleet) {
    // The draining entry is among the lost changes.
    store.restore(changesSince(STORE_LOST - 1_000) + 1);
    fleet.setStoreDown(false);
  }

  private void rewriteLost(SimulatedFleet fleet) {
    store.put("configuration", "booking@" + version);
    drainBackend(fleet);
  }

  private void scheduleFaults(SimulatedFleet fleet) {
    for (long at = CHANGES_BEGIN; at < CHANGES_END; at += CHANGE_INTERVAL_MILLIS) {
      if (at < STORE_LOST || at > LOST_CHANGES_REWRITTEN) {
        fleet.schedule(at, () -> writeConfiguration(fleet));
      }
    }
    fleet.schedule(BACKEND_DRAINS, () -> drainBackend(fleet));
    fleet.schedule(STORE_LOST, () -> fleet.setStoreDown(true));
    fleet.schedule(STORE_RESTORED, () -> restoreStore(fleet));
    fleet.schedule(LOST_CHANGES_REWRITTEN, () -> rewriteLost(fleet));
    fleet.schedule(PARTITION_BEGINS, () -> fleet.isolateZone(1));
    fleet.schedule(PARTITION_ENDS, () -> fleet.isolateZone(-1));
  }

  @ParameterizedTest
  @MethodSource("sizes")
  void everyNodeAppliesEachChangeInTimeAndTheStoreIsNotOverloaded(int size) {
    SimulatedFleet.populate(store, BACKENDS);
    SimulatedFleet fleet = new SimulatedFleet(size, size < 50 ? 4 : 7, SEED, store);
    scheduleFaults(fleet);
    fleet.runUntil(CHANGES_BEGIN);
    assertThat(fleet.nodes()).allMatch(node -> node.state.view().version() == 1);

    long slowest = 0;
    int callsAtLoss = 0;
    int readsAtLoss = 0;
    for (long now = CHANGES_BEGIN; now <= END; now += 10) {
      fleet.runUntil(now);
      if (now == STORE_LOST) {
        callsAtLoss = fleet.storeCalls();
        readsAtLoss = fleet.fullReads();
      }
      slowest = Math.max(slowest, oldestMissingMillis(fleet, now));
      if (now >= BACKEND_DRAINS + BOUND_MILLIS / 2) {
        assertThat(fleet.nodes())
            .as("the draining backend, at %d ms", now)
            .noneMatch(SimulatedFleet.Node::sendsToDrainingBackend);
      }
    }
    int calls = fleet.storeCalls() - callsAtLoss;
    int reads = fleet.fullReads() - readsAtLoss;
    System.out.printf(
        "nodes %d, readers %d: slowest change %d ms, from the loss on %d calls, %d whole reads;"
            + " transfers %d KB%n",
        size, fleet.readers(), slowest, calls, reads, fleet.transferBytes() / 1_000);
    assertThat(slowest).isLessThan(BOUND_MILLIS);
    assertThat(reads).isLessThanOrEqualTo(2 * fleet.readers());
    assertThat(calls).isLessThan(CALLS_PER_READER * fleet.readers());
    assertThat(fleet.nodes())
        .allMatch(node -> node.state.view().position().equals(store.position()));
  }

  /** Age of the oldest change that a connected node lacks, milliseconds; 0 if none is missing. */
  private long oldestMissingMillis(SimulatedFleet fleet, long now) {
    boolean isOutage = now >= STORE_LOST && now < LOST_CHANGES_REWRITTEN;
    if (isOutage) {
      return 0;
    }
    long oldest = 0;
    for (Change change : changes) {
      long since =
          change.atMillis() < STORE_LOST && now > STORE_LOST
              ? LOST_CHANGES_REWRITTEN
              : change.atMillis();
      for (SimulatedFleet.Node node : fleet.nodes()) {
        long connectedSince = node.zone == 1 && now >= PARTITION_BEGINS ? PARTITION_ENDS : 0;
        boolean isMissing = node.state.view().version() < change.version();
        if (isMissing && now >= connectedSince) {
          oldest = Math.max(oldest, now - Math.max(since, connectedSince));
        }
      }
    }
    return oldest;
  }
}
