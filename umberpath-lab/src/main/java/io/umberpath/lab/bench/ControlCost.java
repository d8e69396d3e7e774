package io.umberpath.lab.bench;

import io.umberpath.lab.cluster.AdminClient;
import io.umberpath.lab.cluster.LocalCluster;
import io.umberpath.lab.cluster.NodeHandle;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Control bytes, processor time and memory of every node between two moments without calls. */
final class ControlCost {
  private static final String BYTES = "umberpath_transport_bytes_total";
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double KIB = 1_024;
  private static final double PERCENT = 100;

  private final LocalCluster cluster;
  private final AdminClient admin = new AdminClient();
  private final List<Sample> before = new ArrayList<>();
  private long startNanos;

  private record Sample(double bytes, long cpuNanos) {}

  ControlCost(LocalCluster cluster) {
    this.cluster = cluster;
  }

  void begin() throws InterruptedException {
    startNanos = System.nanoTime();
    for (NodeHandle node : cluster.nodes()) {
      before.add(sample(node));
    }
  }

  /** Adds the figures since {@link #begin}. */
  void end(String phase, BenchReport report) throws InterruptedException, IOException {
    double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    double totalBytes = 0;
    double maxBytes = 0;
    double totalCpu = 0;
    double maxCpu = 0;
    double maxMegabytes = 0;
    List<NodeHandle> nodes = cluster.nodes();
    for (int index = 0; index < nodes.size(); index++) {
      Sample now = sample(nodes.get(index));
      double bytes = (now.bytes() - before.get(index).bytes()) / seconds;
      double cpu = (now.cpuNanos() - before.get(index).cpuNanos()) / NANOS_PER_SECOND / seconds;
      totalBytes += bytes;
      maxBytes = Math.max(maxBytes, bytes);
      totalCpu += cpu;
      maxCpu = Math.max(maxCpu, cpu);
      maxMegabytes = Math.max(maxMegabytes, residentMegabytes(nodes.get(index).pid()));
    }
    int count = nodes.size();
    report.add(
        Figure.target(
            "control bytes a node (both ways), mean, " + phase,
            totalBytes / count / KIB,
            "KiB/s",
            Limits.CONTROL_KIB_PER_SECOND));
    report.add(
        Figure.target(
            "control bytes of the busiest node, " + phase,
            maxBytes / KIB,
            "KiB/s",
            Limits.CONTROL_KIB_PER_SECOND));
    report.add(
        Figure.target(
            "processor a node, mean, " + phase,
            totalCpu / count * PERCENT,
            "% core",
            Limits.CONTROL_CORE_PERCENT));
    report.add(Figure.of("processor of the busiest node, " + phase, maxCpu * PERCENT, "% core"));
    report.add(
        Figure.target(
            "resident memory of the largest node, " + phase,
            maxMegabytes,
            "MiB",
            Limits.CONTROL_MEMORY_MIB));
  }

  private Sample sample(NodeHandle node) throws InterruptedException {
    long cpuNanos =
        ProcessHandle.of(node.pid())
            .flatMap(handle -> handle.info().totalCpuDuration())
            .map(duration -> TimeUnit.NANOSECONDS.convert(duration))
            .orElse(0L);
    return new Sample(admin.metric(node.spec(), BYTES), cpuNanos);
  }

  /** From the kernel's page of the process; 0 where there is none. */
  private static double residentMegabytes(long pid) throws IOException {
    Path page = Path.of("/proc/" + pid + "/status");
    if (!Files.exists(page)) {
      return 0;
    }
    return Files.readAllLines(page).stream()
        .filter(line -> line.startsWith("VmRSS:"))
        .mapToDouble(line -> Double.parseDouble(line.replaceAll("\\D", "")) / KIB)
        .sum();
  }
}
