package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * In the middle of a storm of changes the store is away for a second and comes back from a copy a
 * second old, while a third of the nodes are refused by it and one zone is cut off for 1.5 s.
 * {@code UMBERPATH_FLEET_SIZES=300,1000} runs larger fleets.
 */
final class RestoredFleetTest {
  private static final long SEED = 90_801;
  private static final long BOUND_MILLIS = 2_000;
  private static final int BACKENDS = 12;
  private static final long STORM_MILLIS = 250;
  private static final long STORM_BEGINS = 6_000;
  private static final long LEAVES = 8_600;
  private static final long LOST = 9_000;
  private static final long BACK = 10_000;
  private static final long WRITTEN_AGAIN = 10_500;
  private static final long CUT_BEGINS = 9_500;
  private static final long CUT_ENDS = 11_000;
  private static final long STORM_ENDS = 13_000;
  private static final long END = 17_000;

  /**
   * Calls of a reader in the ten seconds from the loss on: its watches, and a failed one a while.
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

  private void change(VirtualFleet fleet) {
    version++;
    store.put("configuration", "booking@" + version);
    changes.add(new Change(version, fleet.now()));
    fleet.changed();
  }

  private void leave(VirtualFleet fleet) {
    store.put("b-0", "1000@0@booking@DRAINING");
    fleet.changed();
  }

  private int changesBefore(long millis) {
    return (int) changes.stream().filter(change -> change.atMillis() >= millis).count();
  }

  private void comeBack(VirtualFleet fleet) {
    // The leaving is among what is lost.
    store.restore(changesBefore(LOST - 1_000) + 1);
    fleet.away(false);
  }

  private void writeAgain(VirtualFleet fleet) {
    store.put("configuration", "booking@" + version);
    leave(fleet);
  }

  private void plan(VirtualFleet fleet) {
    for (long at = STORM_BEGINS; at < STORM_ENDS; at += STORM_MILLIS) {
      if (at < LOST || at > WRITTEN_AGAIN) {
        fleet.at(at, () -> change(fleet));
      }
    }
    fleet.at(LEAVES, () -> leave(fleet));
    fleet.at(LOST, () -> fleet.away(true));
    fleet.at(BACK, () -> comeBack(fleet));
    fleet.at(WRITTEN_AGAIN, () -> writeAgain(fleet));
    fleet.at(CUT_BEGINS, () -> fleet.cutOff(1));
    fleet.at(CUT_ENDS, () -> fleet.cutOff(-1));
  }

  @ParameterizedTest
  @MethodSource("sizes")
  void everyNodeHoldsEachChangeInTimeAndTheStoreIsNotOverrun(int size) {
    VirtualFleet.fill(store, BACKENDS);
    VirtualFleet fleet = new VirtualFleet(size, size < 50 ? 4 : 7, SEED, store);
    plan(fleet);
    fleet.runUntil(STORM_BEGINS);
    assertThat(fleet.nodes()).allMatch(node -> node.state.view().version() == 1);

    long slowest = 0;
    int callsAtLoss = 0;
    int readsAtLoss = 0;
    for (long now = STORM_BEGINS; now <= END; now += 10) {
      fleet.runUntil(now);
      if (now == LOST) {
        callsAtLoss = fleet.calls();
        readsAtLoss = fleet.wholeReads();
      }
      slowest = Math.max(slowest, slowestAt(fleet, now));
      if (now >= LEAVES + BOUND_MILLIS / 2) {
        assertThat(fleet.nodes())
            .as("the back end that leaves, at %d ms", now)
            .noneMatch(VirtualFleet.Node::sendsToLeaver);
      }
    }
    int calls = fleet.calls() - callsAtLoss;
    int reads = fleet.wholeReads() - readsAtLoss;
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

  /** Age of the oldest change that a node in touch lacks, milliseconds; 0 if all have all. */
  private long slowestAt(VirtualFleet fleet, long now) {
    boolean excused = now >= LOST && now < WRITTEN_AGAIN;
    if (excused) {
      return 0;
    }
    long oldest = 0;
    for (Change change : changes) {
      long since = change.atMillis() < LOST && now > LOST ? WRITTEN_AGAIN : change.atMillis();
      for (VirtualFleet.Node node : fleet.nodes()) {
        long inTouchSince = node.zone == 1 && now >= CUT_BEGINS ? CUT_ENDS : 0;
        boolean lacks = node.state.view().version() < change.version();
        if (lacks && now >= inTouchSince) {
          oldest = Math.max(oldest, now - Math.max(since, inTouchSince));
        }
      }
    }
    return oldest;
  }
}
