package io.umberpath.lab.bench;

import io.umberpath.lab.backend.BackendStandIn;
import io.umberpath.lab.caller.CallMix;
import io.umberpath.lab.caller.CallOutcome;
import io.umberpath.lab.caller.CallRecords;
import io.umberpath.lab.caller.CallerSettings;
import io.umberpath.lab.caller.OpenLoopCaller;
import io.umberpath.lab.caller.RunAudit;
import io.umberpath.lab.cluster.Conditions;
import io.umberpath.lab.cluster.FleetOperator;
import io.umberpath.lab.cluster.LocalCluster;
import io.umberpath.lab.cluster.NodeHandle;
import io.umberpath.lab.cluster.VersionWatch;
import io.umberpath.model.Version;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Drain, kills, pauses and planned stops under load. */
final class FaultStage {
  private static final double RATE = 120;
  private static final Duration BOUND = Duration.ofMinutes(3);
  private static final Duration PATIENCE = Duration.ofSeconds(30);
  private static final int KILLS = 3;
  private static final int HELD_UPLOADS = 8;
  private static final long PAUSE_SECONDS = 3;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double PERCENT = 100;

  private final LocalCluster cluster;
  private final VersionWatch watch;
  private final BenchReport report;
  private final long seconds;

  FaultStage(LocalCluster cluster, VersionWatch watch, BenchReport report, long seconds) {
    this.cluster = cluster;
    this.watch = watch;
    this.report = report;
    this.seconds = seconds;
  }

  void run() throws Exception {
    CallRecords records = new CallRecords();
    CallMix mix = new CallMix(cluster.profile().mix());
    CallerSettings settings =
        new CallerSettings("faults", cluster.edges(), mix, RATE, 1, PATIENCE, 1);
    OpenLoopCaller caller = OpenLoopCaller.start(settings, records);
    try {
      Version version = drain();
      killsAndPauses(version);
    } finally {
      caller.close();
    }
    double refused = records.total() - records.count(CallOutcome.COMPLETED);
    report.add(
        Figure.of("calls not completed under faults", refused / records.total() * PERCENT, "%"));
    report.add(Figure.promise("double runs", cluster.ledger().doubleRuns("faults"), "runs", 0));
    report.addBroken(RunAudit.contradictions(records, cluster.ledger()));
    records.wrongAnswers().forEach(wrong -> report.addBroken(List.of(wrong)));
    report.addBroken(watch.regressions());
  }

  private Version drain() throws Exception {
    BackendStandIn backend = cluster.backends().values().iterator().next();
    try (FleetOperator operator =
        new FleetOperator(cluster, cluster.backendNode(1), cluster.nodes().get(0))) {
      long begunNanos = System.nanoTime();
      FleetOperator.Applied drained = operator.drain("drain-start", backend.settings().id(), true);
      long acceptedNanos = begunNanos + TimeUnit.MICROSECONDS.toNanos(drained.acceptedMicros());
      TimeUnit.SECONDS.sleep(seconds);
      double lateMillis = (backend.lastBegunNanos() - acceptedNanos) / NANOS_PER_MILLI;
      report.add(
          Figure.promise(
              "last new work after a drain was accepted",
              Math.max(0, lateMillis),
              "ms",
              Limits.DRAIN_MILLIS));
      return operator.drain("drain-end", backend.settings().id(), false).version();
    }
  }

  private void killsAndPauses(Version version) throws Exception {
    Distribution back = new Distribution();
    for (int number = 0; number < KILLS; number++) {
      NodeHandle victim = cluster.backendNode(2 + number);
      victim.kill();
      TimeUnit.SECONDS.sleep(1);
      long startNanos = System.nanoTime();
      victim.start();
      awaitAll(version);
      back.add(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
    }
    report.add(Figure.of("killed node back in force after its start, max", back.maxMillis(), "ms"));
    NodeHandle paused = cluster.nodes().get(0);
    paused.pause();
    TimeUnit.SECONDS.sleep(PAUSE_SECONDS);
    paused.resume();
    awaitAll(version);
  }

  private void awaitAll(Version version) throws Exception {
    Conditions.await(
        "every node runs " + version,
        BOUND,
        () -> {
          watch.poll();
          return watch.allRun(version);
        });
  }

  /** Stops an edge node and a node beside a back end with uploads in flight through both. */
  void plannedStop() throws Exception {
    SlowUploads uploads = new SlowUploads();
    uploads.start(cluster.edges(), HELD_UPLOADS);
    Conditions.await("uploads in flight", BOUND, () -> running() >= HELD_UPLOADS);
    NodeHandle edge = cluster.nodes().get(1);
    NodeHandle beside = besideBusiest();
    edge.stop();
    beside.stop();
    TimeUnit.SECONDS.sleep(PAUSE_SECONDS);
    report.add(
        Figure.promise(
            "uploads cut by a planned stop, of " + HELD_UPLOADS, uploads.finish(), "uploads", 0));
  }

  private int running() {
    return cluster.backends().values().stream().mapToInt(BackendStandIn::running).sum();
  }

  private NodeHandle besideBusiest() {
    return cluster.nodes().stream()
        .filter(node -> !node.spec().isEdge())
        .max(
            java.util.Comparator.comparingInt(
                node -> cluster.backends().get(node.spec().backendId().orElseThrow()).running()))
        .orElseThrow();
  }
}
