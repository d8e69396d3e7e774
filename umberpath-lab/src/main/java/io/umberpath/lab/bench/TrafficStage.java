package io.umberpath.lab.bench;

import io.umberpath.lab.backend.BackendStandIn;
import io.umberpath.lab.caller.CallMix;
import io.umberpath.lab.caller.CallOutcome;
import io.umberpath.lab.caller.CallRecords;
import io.umberpath.lab.caller.CallerSettings;
import io.umberpath.lab.caller.OpenLoopCaller;
import io.umberpath.lab.caller.RunAudit;
import io.umberpath.lab.cluster.DeploymentProfile;
import io.umberpath.lab.cluster.LocalCluster;
import io.umberpath.lab.workload.RequestKind;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Latency that the proxies add, and goodput beyond capacity, beside baselines. */
final class TrafficStage {
  private static final double LATENCY_RATE = 60;
  private static final double OVERLOAD_FACTOR = 3;
  private static final double OVERLOAD_SLOWDOWN = 20;
  private static final double MEDIAN = 50;
  private static final double P99 = 99;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double MICROS_PER_SECOND = 1_000_000;
  private static final double PERCENT = 100;
  private static final Duration LONG_PATIENCE = Duration.ofSeconds(30);
  private static final Duration SHORT_PATIENCE = Duration.ofSeconds(2);
  private static final int RETRIES = 3;

  private final LocalCluster cluster;
  private final BenchReport report;
  private final long seconds;

  TrafficStage(LocalCluster cluster, BenchReport report, long seconds) {
    this.cluster = cluster;
    this.report = report;
    this.seconds = seconds;
  }

  /** Calls of one kind through the proxies and straight to the back ends, at the same time. */
  void addedLatency() throws Exception {
    DeploymentProfile.Service service = cluster.profile().services().get(1);
    CallMix lookups = new CallMix(Map.of(RequestKind.LOOKUPS, 1));
    for (String pass : List.of("warm-up", "measured")) {
      CallRecords proxied = new CallRecords();
      CallRecords direct = new CallRecords();
      OpenLoopCaller first = start(pass + "-proxied", cluster.edges(), lookups, proxied);
      OpenLoopCaller second = start(pass + "-direct", cluster.direct(service), lookups, direct);
      TimeUnit.SECONDS.sleep(seconds);
      first.close();
      second.close();
      if (pass.equals("measured")) {
        reportLatency(proxied, direct);
      }
    }
  }

  private void reportLatency(CallRecords proxied, CallRecords direct) {
    report.add(latency("lookup direct, p50", direct, MEDIAN));
    report.add(latency("lookup direct, p99", direct, P99));
    report.add(latency("lookup through the proxies, p50", proxied, MEDIAN));
    report.add(latency("lookup through the proxies, p99", proxied, P99));
    double addedMedian = proxied.latencyMicros(MEDIAN) - direct.latencyMicros(MEDIAN);
    double addedP99 = proxied.latencyMicros(P99) - direct.latencyMicros(P99);
    report.add(Figure.of("latency added, p50", addedMedian / MICROS_PER_MILLI, "ms"));
    report.add(
        Figure.target(
            "latency added, p99", addedP99 / MICROS_PER_MILLI, "ms", Limits.ADDED_P99_MILLIS));
  }

  private static Figure latency(String name, CallRecords records, double percentile) {
    return Figure.of(name, records.latencyMicros(percentile) / MICROS_PER_MILLI, "ms");
  }

  /** Three times the capacity of the first service, with back ends slowed so that it is little. */
  void overload() throws Exception {
    DeploymentProfile.Service service = cluster.profile().services().get(0);
    RequestKind kind = service.kinds().get(0);
    cluster.backends().values().forEach(backend -> backend.setSlowdown(OVERLOAD_SLOWDOWN));
    double capacity = capacity(service, kind);
    report.add(Figure.of("capacity of " + service.name() + ", slowed", capacity, "/s"));
    CallMix mix = new CallMix(Map.of(kind, 1));
    overload("proxied", "through the proxies", cluster.edges(), mix, capacity, 1);
    List<URI> direct = cluster.direct(service);
    overload("round-robin", "baseline round robin", direct, mix, capacity, 1);
    overload("retry-three", "baseline, three attempts", direct, mix, capacity, RETRIES);
    cluster.backends().values().forEach(backend -> backend.setSlowdown(1));
  }

  private void overload(
      String name, String title, List<URI> targets, CallMix mix, double capacity, int attempts)
      throws Exception {
    CallRecords records = new CallRecords();
    double rate = capacity * OVERLOAD_FACTOR;
    CallerSettings settings =
        new CallerSettings(name, targets, mix, rate, 1, SHORT_PATIENCE, attempts);
    OpenLoopCaller caller = OpenLoopCaller.start(settings, records);
    TimeUnit.SECONDS.sleep(seconds);
    caller.close();
    double goodput = records.count(CallOutcome.COMPLETED) / (double) seconds;
    String where = " at 3x capacity, " + title;
    report.add(Figure.of("goodput" + where, goodput / capacity * PERCENT, "% cap."));
    report.add(latency("completed p99" + where, records, P99));
    double doubleRuns = cluster.ledger().doubleRuns(name);
    if (attempts > 1) {
      report.add(Figure.of("double runs" + where, doubleRuns, "runs"));
    } else {
      report.add(Figure.promise("double runs" + where, doubleRuns, "runs", 0));
    }
    if (name.equals("proxied")) {
      report.addBroken(RunAudit.contradictions(records, cluster.ledger()));
      records.wrongAnswers().forEach(wrong -> report.addBroken(List.of(wrong)));
    }
  }

  private double capacity(DeploymentProfile.Service service, RequestKind kind) {
    double meanMicros =
        kind.medianMicros() * Math.exp(kind.sigma() * kind.sigma() / 2) * OVERLOAD_SLOWDOWN;
    int slots = 0;
    for (BackendStandIn backend : cluster.backends().values()) {
      boolean member = backend.settings().id().startsWith(service.name() + "-");
      slots += member ? backend.settings().slots() : 0;
    }
    return slots * MICROS_PER_SECOND / meanMicros;
  }

  private OpenLoopCaller start(String name, List<URI> targets, CallMix mix, CallRecords records) {
    return OpenLoopCaller.start(
        new CallerSettings(name, targets, mix, LATENCY_RATE, 1, LONG_PATIENCE, 1), records);
  }
}
