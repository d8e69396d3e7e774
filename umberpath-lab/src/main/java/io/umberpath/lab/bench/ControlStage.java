package io.umberpath.lab.bench;

import io.umberpath.lab.cluster.Changes;
import io.umberpath.lab.cluster.FleetOperator;
import io.umberpath.lab.cluster.LocalCluster;
import io.umberpath.lab.cluster.VersionWatch;
import java.util.concurrent.TimeUnit;

/** Convergence of changes one after the other, and what control costs idle and meanwhile. */
final class ControlStage {
  private static final double MEDIAN = 50;
  private static final double P99 = 99;

  private final LocalCluster cluster;
  private final VersionWatch watch;
  private final BenchReport report;

  ControlStage(LocalCluster cluster, VersionWatch watch, BenchReport report) {
    this.cluster = cluster;
    this.watch = watch;
    this.report = report;
  }

  void run(int changes, long idleSeconds) throws Exception {
    ControlCost idle = new ControlCost(cluster);
    idle.begin();
    TimeUnit.SECONDS.sleep(idleSeconds);
    idle.end("idle", report);
    ControlCost busy = new ControlCost(cluster);
    busy.begin();
    long startNanos = System.nanoTime();
    converge(changes);
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    busy.end("one change after another", report);
    report.add(Figure.of("rate of changes meanwhile", changes / seconds, "/s"));
  }

  private void converge(int changes) throws Exception {
    Distribution accepted = new Distribution();
    Distribution inForce = new Distribution();
    try (FleetOperator operator =
        new FleetOperator(cluster, cluster.backendNode(0), cluster.nodes().get(0))) {
      for (int number = 0; number < changes; number++) {
        FleetOperator.Applied applied =
            operator.apply(Changes.oneRoute(cluster.profile(), "bench-" + number, number));
        accepted.add(applied.acceptedMicros());
        inForce.add(applied.inForceMicros());
        watch.poll();
      }
    }
    report.add(Figure.of("change accepted, p50", accepted.millis(MEDIAN), "ms"));
    report.add(Figure.of("change accepted, p99", accepted.millis(P99), "ms"));
    report.add(Figure.of("change in force everywhere, p50", inForce.millis(MEDIAN), "ms"));
    report.add(
        Figure.target(
            "change in force everywhere, p99",
            inForce.millis(P99),
            "ms",
            Limits.CONVERGENCE_MILLIS));
    report.add(
        Figure.target(
            "change in force everywhere, max",
            inForce.maxMillis(),
            "ms",
            Limits.CONVERGENCE_MILLIS));
  }
}
