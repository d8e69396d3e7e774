package io.umberpath.lab.simulate;

import io.umberpath.lab.simulate.ConvergenceTracker.Distribution;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A report as text. */
final class SimulationSummary {
  private SimulationSummary() {}

  static String line(SimulationReport report) {
    return String.format(
        Locale.ROOT,
        "seed %d: %s, %d events, digest %s, in force p50/p99/max %s ms of %d, recovery %d ms,"
            + " %.0f/%d/%d B/s a node mean/p99/max, %.1f s",
        report.settings().seed(),
        report.isGood() ? "good" : "VIOLATION",
        report.events(),
        report.digest(),
        times(report.inForce()),
        report.inForce().count(),
        report.recoveryMillis(),
        report.bytesPerSecond().mean(),
        report.bytesPerSecond().p99(),
        report.bytesPerSecond().max(),
        report.wallSeconds());
  }

  private static String times(Distribution times) {
    return String.format(Locale.ROOT, "%.0f/%.0f/%.0f", times.p50(), times.p99(), times.max());
  }

  static List<String> details(SimulationReport report) {
    List<String> lines = new ArrayList<>();
    lines.add("formation " + report.formationMillis() + " ms, state " + report.sizes());
    lines.add("submissions " + report.outcomes() + ", answered " + times(report.untilAccepted()));
    report
        .roles()
        .forEach(
            (role, load) ->
                lines.add(
                    String.format(
                        Locale.ROOT,
                        "%-6s %d node-seconds, %.0f B/s, %.0f us processor time a second",
                        role,
                        load.nodeSeconds(),
                        load.bytesPerSecond(),
                        load.cpuMicrosPerSecond())));
    report
        .kinds()
        .forEach(
            (kind, count) ->
                lines.add(
                    String.format(
                        Locale.ROOT,
                        "%-20s %d messages, %d bytes",
                        kind,
                        count.getMessages(),
                        count.getBytes())));
    return lines;
  }
}
