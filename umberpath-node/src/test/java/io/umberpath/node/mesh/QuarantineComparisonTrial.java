package io.umberpath.node.mesh;

import io.umberpath.node.mesh.QuarantineSimulation.Disturbance;
import io.umberpath.node.mesh.QuarantineSimulation.Outcome;
import io.umberpath.node.mesh.QuarantineSimulation.QuarantinePolicy;
import io.umberpath.node.mesh.QuarantineSimulation.Scenario;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Prints the results of each hold policy in each scenario; run by hand. */
final class QuarantineComparisonTrial {
  private static final List<QuarantinePolicy> POLICIES =
      List.of(
          new QuarantinePolicy("three", 3, false),
          new QuarantinePolicy("two", 2, false),
          new QuarantinePolicy("two, isolated", 2, true),
          new QuarantinePolicy("three, isolated", 3, true));

  private QuarantineComparisonTrial() {}

  public static void main(String[] arguments) {
    int seeds = Integer.parseInt(arguments[0]);
    int nodes = Integer.parseInt(arguments[1]);
    for (Map.Entry<String, Scenario> each : scenarios(nodes).entrySet()) {
      for (QuarantinePolicy policy : POLICIES) {
        print(each.getKey(), policy, each.getValue(), seeds);
      }
    }
  }

  private static Map<String, Scenario> scenarios(int nodes) {
    Map<String, Scenario> scenarios = new TreeMap<>();
    int rate = Math.max(200, Math.min(5_000, 10 * nodes));
    String size = nodes + " nodes, ";
    Scenario undisturbed = Scenario.undisturbed(nodes, rate, 1);
    scenarios.put(
        size + "0 poison, kills",
        Scenario.undisturbed(nodes, rate, 0).with(Disturbance.BACKEND_KILLS));
    scenarios.put(size + "1 poison", undisturbed);
    scenarios.put(size + "5 poison", Scenario.undisturbed(nodes, rate, 5));
    scenarios.put(
        size + "5 poison, kills",
        Scenario.undisturbed(nodes, rate, 5).with(Disturbance.BACKEND_KILLS));
    scenarios.put(
        size + "1 poison, loss, split, restarts",
        undisturbed.with(
            Disturbance.DATAGRAM_LOSS, Disturbance.ZONE_PARTITION, Disturbance.NODE_RESTARTS));
    return scenarios;
  }

  /**
   * Crashes and datagrams are means over the seeds; late arrivals and the slowest node are maxima;
   * counts of requests are sums.
   */
  private static void print(String name, QuarantinePolicy policy, Scenario scenario, int seeds) {
    int crashes = 0;
    int lateArrivals = 0;
    long ordinaryRequests = 0;
    long wronglyHeld = 0;
    long failed = 0;
    double datagrams = 0;
    long slowestNodeMillis = 0;
    for (int seed = 1; seed <= seeds; seed++) {
      Outcome outcome = new QuarantineSimulation(scenario, policy, seed).run();
      crashes += outcome.crashes();
      lateArrivals = Math.max(lateArrivals, outcome.lateArrivals());
      ordinaryRequests += outcome.ordinaryRequests();
      wronglyHeld += outcome.wronglyHeld();
      failed += outcome.failed();
      datagrams += outcome.datagramsPerNode();
      slowestNodeMillis = Math.max(slowestNodeMillis, outcome.slowestNodeMillis());
    }
    System.out.printf(
        "%-42s %-16s crashes %6.1f late<=%3d ordinary %8d wrongly held %5d failed %6d datagrams/node"
            + " %7.1f slowest node %5d ms%n",
        name,
        policy.name(),
        crashes / (double) seeds,
        lateArrivals,
        ordinaryRequests,
        wronglyHeld,
        failed,
        datagrams / seeds,
        slowestNodeMillis);
  }
}
