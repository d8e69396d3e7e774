package io.umberpath.lab.bench;

import io.umberpath.lab.OptionsCommand;
import io.umberpath.lab.cluster.Changes;
import io.umberpath.lab.cluster.DeploymentProfile;
import io.umberpath.lab.cluster.FleetOperator;
import io.umberpath.lab.cluster.LocalCluster;
import io.umberpath.lab.cluster.VersionWatch;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import org.kohsuke.args4j.Option;

/** {@code umberpath-lab bench}. */
public final class BenchCommand extends OptionsCommand {
  @Option(name = "--profile", metaVar = "NAME", usage = "klang-valley or western-sri-lanka")
  private String profile = DeploymentProfile.KLANG_VALLEY.name();

  @Option(name = "--json", metaVar = "FILE", usage = "also write the figures there")
  private Path json;

  @Option(name = "--changes", metaVar = "N", usage = "changes whose convergence is measured")
  private int changes = 30;

  @Option(name = "--seconds", metaVar = "N", usage = "length of each stage of load")
  private long seconds = 8;

  @Override
  public String name() {
    return "bench";
  }

  @Override
  public String summary() {
    return "measure a deployment on loopback under load and faults, beside baselines and limits";
  }

  @Override
  protected int run(PrintStream out) throws Exception {
    Optional<DeploymentProfile> found = DeploymentProfile.ofName(profile);
    if (found.isEmpty()) {
      System.err.println("--profile " + profile + ": must be klang-valley or western-sri-lanka");
      return EXIT_USAGE;
    }
    BenchReport report = new BenchReport(out, profile);
    try (LocalCluster cluster = LocalCluster.start(found.get())) {
      measure(cluster, report);
      cluster.stopNodes();
      cluster.deleteFiles();
    }
    if (json != null) {
      report.write(json);
    }
    report.brokenPromises().forEach(broken -> out.println("BROKEN " + broken));
    return report.brokenPromises().isEmpty() ? EXIT_SUCCESS : EXIT_FAILED;
  }

  private void measure(LocalCluster cluster, BenchReport report) throws Exception {
    VersionWatch watch = cluster.watch();
    cluster.awaitFormed(watch);
    try (FleetOperator operator =
        new FleetOperator(cluster, cluster.backendNode(0), cluster.nodes().get(0))) {
      operator.apply(Changes.everything(cluster.profile(), "first"));
    }
    cluster.awaitReady();
    new ControlStage(cluster, watch, report).run(changes, seconds);
    TrafficStage traffic = new TrafficStage(cluster, report, seconds);
    traffic.addedLatency();
    traffic.overload();
    FaultStage faults = new FaultStage(cluster, watch, report, seconds);
    faults.run();
    faults.plannedStop();
  }
}
