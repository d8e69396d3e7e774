package io.umberpath.traffic.simulation;

import io.umberpath.traffic.simulation.Scenario.Policy;

/** Prints the table of docs/measurements/traffic-decisions.md. */
final class SimulationReport {
  private SimulationReport() {}

  public static void main(String[] arguments) {
    int seconds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 20;
    System.out.println(Outcome.header());
    for (double load : new double[] {0.3, 0.7, 0.9, 3.0}) {
      for (Policy policy : Policy.values()) {
        print(new Scenario(policy, load, 200, true, 0, 0, seconds, 1));
      }
    }
    for (Policy policy : Policy.values()) {
      print(new Scenario(policy, 0.7, 200, true, 0, 1, seconds, 1));
    }
    for (double load : new double[] {0.7, 0.9}) {
      print(new Scenario(Policy.UMBERPATH, load, 200, false, 0, 0, seconds, 1));
      print(new Scenario(Policy.UMBERPATH, load, 2_000, false, 0, 0, seconds, 1));
      print(new Scenario(Policy.UMBERPATH, load, 2_000, false, 0, 1, seconds, 1));
      print(new Scenario(Policy.UMBERPATH, load, 200, true, 2, 0, seconds, 1));
      print(new Scenario(Policy.UMBERPATH, load, 200, true, 7, 0, seconds, 1));
      print(new Scenario(Policy.UMBERPATH, load, 200, true, 1, 1, seconds, 1));
    }
  }

  private static void print(Scenario scenario) {
    System.out.println(TrafficSimulation.run(scenario).row());
  }
}
