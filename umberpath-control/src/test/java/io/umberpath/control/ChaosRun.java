package io.umberpath.control;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Version;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One seeded run: a fleet under random faults and changes, then a fault-free recovery phase, then
 * all checks.
 */
final class ChaosRun {
  private static final long FAULT_MILLIS = 20_000;
  private static final long RECOVERY_LIMIT_MILLIS = 40_000;

  final TestFleet fleet;
  private final SplittableRandom random;
  private final TreeMap<Long, String> poolByTicket = new TreeMap<>();
  private final int size;
  private int submitted;

  ChaosRun(long seed, Optional<SeededFault> fault) {
    random = new SplittableRandom(seed);
    size = 5 + random.nextInt(10);
    int zones = 1 + random.nextInt(4);
    fleet = new TestFleet(seed, size, zones);
    fleet.fault = fault;
    fleet.platformDocument = TestFleet.document(1);
    fleet.quorum =
        random.nextInt(3) == 0
            ? ControlSettings.QuorumRule.ZONE_MAJORITY
            : ControlSettings.QuorumRule.MAJORITY;
    fleet.batchWindowMillis = random.nextInt(2) * 20;
    fleet.maxReaders = 1 + random.nextInt(4);
  }

  /** Runs the scenario; returns all failures, empty if there are none. */
  List<String> run() {
    fleet.startAll();
    List<String> failures = new ArrayList<>();
    if (fleet.runUntil(30_000, fleet::hasConverged) < 0) {
      failures.add("did not form");
      return failures;
    }
    fleet.lossProbability = random.nextInt(3) * 0.05;
    fleet.duplicationProbability = random.nextInt(2) * 0.1;
    fleet.maxDelayMillis = 1 + random.nextInt(4) * 40;
    long end = fleet.nowMillis + FAULT_MILLIS;
    while (fleet.nowMillis < end) {
      injectFault();
      submit();
      fleet.run(50 + random.nextInt(800));
    }
    heal();
    if (fleet.runUntil(RECOVERY_LIMIT_MILLIS, this::hasRecovered) < 0) {
      failures.add(fleet.nowMillis + " did not converge after the faults: " + describe());
    } else {
      failures.addAll(fleet.lostChanges(poolByTicket));
    }
    failures.addAll(fleet.violations);
    if (fleet.maxConcurrentReaders > fleet.maxReaders) {
      failures.add(fleet.maxConcurrentReaders + " readers at once of " + fleet.maxReaders);
    }
    return failures;
  }

  private boolean hasRecovered() {
    boolean isSameRevision =
        fleet.liveProcesses().stream()
            .allMatch(process -> process.revision == fleet.platformDocument.revision());
    return fleet.hasConverged()
        && isSameRevision
        && fleet.changeResults.size() == poolByTicket.size();
  }

  private String describe() {
    StringBuilder text = new StringBuilder();
    text.append(fleet.changeResults.size())
        .append('/')
        .append(poolByTicket.size())
        .append(" answers");
    for (TestFleet.Process process : fleet.liveProcesses()) {
      ControlStatus status = process.status();
      Version committed = status.committed().version();
      text.append("\n  ").append(status.self()).append(' ').append(status.role());
      text.append(" epoch ").append(status.epoch()).append(" held ").append(status.heldVersion());
      text.append(" committed ").append(committed).append(" active ").append(process.active);
      text.append(" revision ").append(process.revision).append(" parent ");
      text.append(status.parent().map(member -> member.address().host()).orElse("-"));
    }
    fleet.notices.stream()
        .skip(Math.max(0, fleet.notices.size() - 30))
        .forEach(notice -> text.append("\n  ").append(notice));
    return text.toString();
  }

  private void submit() {
    if (random.nextBoolean()) {
      String name = "p" + submitted++;
      TestFleet.Process origin = fleet.process(random.nextInt(size));
      if (origin.isAlive && !origin.isPaused) {
        long ticket = fleet.submit(origin, TestFleet.poolChange("r" + name, name));
        poolByTicket.put(ticket, name);
        fleet.runAt(
            fleet.nowMillis + 15_000, () -> origin.input(new ControlInput.ChangeAbandoned(ticket)));
      }
    }
  }

  /**
   * Injects a random fault, killing so few processes that a quorum of those that hold the state
   * remains.
   */
  private void injectFault() {
    int index = random.nextInt(size);
    switch (random.nextInt(8)) {
      case 0, 1 -> replaceOne(index);
      case 2 -> fleet.leader().ifPresent(this::replaceLeader);
      case 3 -> partition();
      case 4 -> heal();
      case 5 -> pauseFor(index);
      case 6 -> fleet.platformDocument = TestFleet.document(fleet.platformDocument.revision() + 1);
      default -> {}
    }
  }

  private boolean isStable() {
    return fleet.leader().isPresent() && fleet.hasConverged();
  }

  private void replaceLeader(TestFleet.Process leader) {
    for (int index = 0; index < size; index++) {
      if (fleet.process(index) == leader) {
        replaceOne(index);
      }
    }
  }

  private void replaceOne(int index) {
    if (isStable() && !fleet.process(index).isPaused) {
      discardTicketsOf(fleet.process(index));
      fleet.restart(index);
    }
  }

  /** A process that dies never completes its pending tickets, so they are not checked. */
  private void discardTicketsOf(TestFleet.Process process) {
    process.pending().forEach(poolByTicket::remove);
  }

  private void partition() {
    int cutSize = 1 + random.nextInt(size - 1);
    List<PeerAddress> part = new ArrayList<>();
    for (int index = 0; index < cutSize; index++) {
      part.add(fleet.address(random.nextInt(size)));
    }
    boolean isOneWay = random.nextInt(4) == 0;
    fleet.isCut =
        (from, to) ->
            isOneWay
                ? part.contains(from) && !part.contains(to)
                : part.contains(from) != part.contains(to);
  }

  private void pauseFor(int index) {
    if (!fleet.process(index).isPaused) {
      fleet.pause(index);
      TestFleet.Process process = fleet.process(index);
      fleet.runAt(
          fleet.nowMillis + random.nextInt(8_000),
          () -> {
            if (fleet.process(index) == process) {
              fleet.resume(index);
            }
          });
    }
  }

  private void heal() {
    fleet.isCut = (from, to) -> false;
  }
}
