package io.umberpath.lab.demo;

import io.umberpath.lab.caller.CallOutcome;
import io.umberpath.lab.caller.CallRecords;
import io.umberpath.lab.cluster.AdminClient;
import io.umberpath.lab.cluster.LocalCluster;
import io.umberpath.lab.cluster.NodeHandle;
import io.umberpath.lab.cluster.VersionWatch;
import io.umberpath.lab.platform.ReaderReport;
import java.io.PrintStream;

/** Prints what every node runs and what callers learnt. */
final class LiveTable {
  private static final String SENT = "umberpath_transport_bytes_total{direction=\"sent\"";

  private final PrintStream out;
  private final LocalCluster cluster;
  private final VersionWatch watch;
  private final CallRecords records;
  private final AdminClient admin = new AdminClient();

  LiveTable(PrintStream out, LocalCluster cluster, VersionWatch watch, CallRecords records) {
    this.out = out;
    this.cluster = cluster;
    this.watch = watch;
    this.records = records;
  }

  void print() throws InterruptedException {
    out.printf(
        "%n  %-14s %-10s %-10s %-10s %-9s %s%n",
        "node", "zone", "role", "version", "platform", "control bytes sent");
    for (NodeHandle node : cluster.nodes()) {
      row(node);
    }
    ReaderReport readers = cluster.platform().readers();
    out.printf(
        "  platform readers: %d now, %d at most%n", readers.distinct(), readers.maxDistinct());
    out.print("  calls:");
    for (CallOutcome outcome : CallOutcome.values()) {
      out.printf(" %s %d", outcome, records.count(outcome));
    }
    out.printf(
        "; latency of completed p50 %.1f ms, p99 %.1f ms%n%n",
        records.latencyMicros(50) / 1_000.0, records.latencyMicros(99) / 1_000.0);
    out.flush();
  }

  private void row(NodeHandle node) throws InterruptedException {
    VersionWatch.Seen seen = watch.of(node.spec());
    String role = seen.report().map(report -> report.role()).orElse("no answer");
    out.printf(
        "  %-14s %-10s %-10s %-10s %-9d %.0f%n",
        node.spec().name(),
        node.spec().zone(),
        role,
        seen.version(),
        seen.revision(),
        admin.metric(node.spec(), SENT));
  }
}
