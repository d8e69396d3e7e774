package io.umberpath.node.mesh;

import io.umberpath.node.mesh.QuarantineSimulation.Outcome;
import io.umberpath.node.mesh.QuarantineSimulation.Scenario;
import io.umberpath.node.mesh.QuarantineSimulation.Trouble;
import io.umberpath.node.mesh.QuarantineSimulation.Way;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Prints what each way of deciding comes to in each scenario; run by hand. */
final class QuarantineComparisonTrial {
  private static final List<Way> WAYS =
      List.of(
          new Way("three", 3, false),
          new Way("two", 2, false),
          new Way("two, isolated", 2, true),
          new Way("three, isolated", 3, true));

  private QuarantineComparisonTrial() {}

  public static void main(String[] arguments) {
    int seeds = Integer.parseInt(arguments[0]);
    int nodes = Integer.parseInt(arguments[1]);
    for (Map.Entry<String, Scenario> each : scenarios(nodes).entrySet()) {
      for (Way way : WAYS) {
        print(each.getKey(), way, each.getValue(), seeds);
      }
    }
  }

  private static Map<String, Scenario> scenarios(int nodes) {
    Map<String, Scenario> scenarios = new TreeMap<>();
    int rate = Math.max(200, Math.min(5_000, 10 * nodes));
    String size = nodes + " nodes, ";
    Scenario calm = Scenario.calm(nodes, rate, 1);
    scenarios.put(size + "0 culprits, kills", Scenario.calm(nodes, rate, 0).with(Trouble.KILLS));
    scenarios.put(size + "1 culprit", calm);
    scenarios.put(size + "5 culprits", Scenario.calm(nodes, rate, 5));
    scenarios.put(size + "5 culprits, kills", Scenario.calm(nodes, rate, 5).with(Trouble.KILLS));
    scenarios.put(
        size + "1 culprit, loss, cut, restarts",
        calm.with(Trouble.LOSS, Trouble.CUT_ZONE, Trouble.RESTARTS));
    return scenarios;
  }

  /** Each figure but the first is over all seeds: the most, or the sum where it counts requests. */
  private static void print(String name, Way way, Scenario scenario, int seeds) {
    int ends = 0;
    int late = 0;
    long innocents = 0;
    long away = 0;
    long failed = 0;
    double datagrams = 0;
    long last = 0;
    for (int seed = 1; seed <= seeds; seed++) {
      Outcome outcome = new QuarantineSimulation(scenario, way, seed).run();
      ends += outcome.ends();
      late = Math.max(late, outcome.lateArrivals());
      innocents += outcome.innocents();
      away += outcome.turnedAway();
      failed += outcome.failed();
      datagrams += outcome.datagramsPerNode();
      last = Math.max(last, outcome.lastNodeMillis());
    }
    System.out.printf(
        "%-42s %-16s ends %6.1f late<=%3d innocents %8d turned away %5d failed %6d datagrams/node"
            + " %7.1f last node %5d ms%n",
        name,
        way.name(),
        ends / (double) seeds,
        late,
        innocents,
        away,
        failed,
        datagrams / seeds,
        last);
  }
}
