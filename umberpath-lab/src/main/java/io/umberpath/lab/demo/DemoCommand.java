package io.umberpath.lab.demo;

import io.umberpath.lab.OptionsCommand;
import io.umberpath.lab.cluster.DeploymentProfile;
import io.umberpath.lab.cluster.LocalCluster;
import java.io.PrintStream;
import java.util.Optional;
import org.kohsuke.args4j.Option;

/** {@code umberpath-lab demo}. */
public final class DemoCommand extends OptionsCommand {
  @Option(name = "--profile", metaVar = "NAME", usage = "klang-valley or western-sri-lanka")
  private String profile = DeploymentProfile.KLANG_VALLEY.name();

  @Option(name = "--once", usage = "stop after one pass; exit 0 only if every statement was true")
  private boolean once;

  @Override
  public String name() {
    return "demo";
  }

  @Override
  public String summary() {
    return "run a deployment on loopback: a change by gRPC, calls, a node dying and coming back";
  }

  @Override
  protected int run(PrintStream out) throws Exception {
    Optional<DeploymentProfile> found = DeploymentProfile.ofName(profile);
    if (found.isEmpty()) {
      System.err.println("--profile " + profile + ": must be klang-valley or western-sri-lanka");
      return EXIT_USAGE;
    }
    try (LocalCluster cluster = LocalCluster.start(found.get())) {
      out.printf(
          "%s: %d back ends, %d nodes; settings and logs in %s%n",
          profile, found.get().backends(), cluster.nodes().size(), cluster.directory());
      boolean held = new DemoRun(cluster, out).run(once);
      out.println(held ? "demo: every statement was true" : "demo: a statement was FALSE");
      if (held) {
        cluster.deleteFiles();
      }
      return held ? EXIT_SUCCESS : EXIT_FAILED;
    }
  }
}
