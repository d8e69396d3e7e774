package io.umberpath.lab.demo;

import io.umberpath.api.v1.ApplyRequest;
import io.umberpath.lab.caller.CallMix;
import io.umberpath.lab.caller.CallOutcome;
import io.umberpath.lab.caller.CallRecords;
import io.umberpath.lab.caller.CallerSettings;
import io.umberpath.lab.caller.OpenLoopCaller;
import io.umberpath.lab.caller.RunAudit;
import io.umberpath.lab.cluster.Changes;
import io.umberpath.lab.cluster.Conditions;
import io.umberpath.lab.cluster.FleetOperator;
import io.umberpath.lab.cluster.LocalCluster;
import io.umberpath.lab.cluster.NodeHandle;
import io.umberpath.lab.cluster.VersionWatch;
import io.umberpath.lab.workload.RequestKind;
import io.umberpath.model.Version;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One pass through the demonstration. Waits for conditions under one generous bound. */
final class DemoRun {
  private static final Duration BOUND = Duration.ofMinutes(3);
  private static final Duration PATIENCE = Duration.ofSeconds(30);
  private static final double RATE_PER_SECOND = 120;
  private static final long CALLS_PER_STAGE = 400;
  private static final int CHANGES = 5;
  private static final long LIVE_SECONDS = 2;

  private final LocalCluster cluster;
  private final PrintStream out;
  private final CallRecords records = new CallRecords();
  private final VersionWatch watch;
  private final LiveTable table;
  private final Statements statements;

  DemoRun(LocalCluster cluster, PrintStream out) {
    this.cluster = cluster;
    this.out = out;
    this.watch = cluster.watch();
    this.table = new LiveTable(out, cluster, watch, records);
    this.statements = new Statements(out);
  }

  /** Runs it; true if every statement held. */
  boolean run(boolean once) throws Exception {
    awaitFleet();
    Version version = firstChange();
    OpenLoopCaller caller = OpenLoopCaller.start(callers(), records);
    try {
      awaitCalls();
      version = moreChanges();
      table.print();
      killAndRestart(version);
      awaitCalls();
      watch.poll();
      table.print();
      while (!once) {
        TimeUnit.SECONDS.sleep(LIVE_SECONDS);
        watch.poll();
        table.print();
      }
    } finally {
      caller.close();
    }
    return verify(version);
  }

  private void awaitFleet() throws Exception {
    out.printf("waiting until %d nodes form one fleet%n", cluster.nodes().size());
    long start = System.nanoTime();
    cluster.awaitFormed(watch);
    out.printf("formed after %d ms%n", millisSince(start));
  }

  private Version firstChange() throws Exception {
    out.println("applying routes, pools and a secret by gRPC");
    Version version = apply(Changes.everything(cluster.profile(), "first"));
    cluster.awaitReady();
    watch.poll();
    statements.claim(watch.allRun(version), "every node runs the first change", "" + version);
    return version;
  }

  private Version moreChanges() throws Exception {
    Version version = Version.NONE;
    for (int number = 0; number < CHANGES; number++) {
      version = apply(Changes.oneRoute(cluster.profile(), "change-" + number, number));
      watch.poll();
      statements.claim(
          watch.allRun(version), "every node runs change " + (number + 1), "" + version);
    }
    return version;
  }

  private Version apply(ApplyRequest change) throws Exception {
    NodeHandle applyThrough = cluster.backendNode(0);
    NodeHandle waitThrough = cluster.nodes().get(0);
    try (FleetOperator operator = new FleetOperator(cluster, applyThrough, waitThrough)) {
      FleetOperator.Applied applied = operator.apply(change);
      out.printf(
          "  change %s accepted as %s after %d ms, in force on every node after %d ms%n",
          change.getRequestId(),
          applied.version(),
          TimeUnit.MICROSECONDS.toMillis(applied.acceptedMicros()),
          TimeUnit.MICROSECONDS.toMillis(applied.inForceMicros()));
      return applied.version();
    }
  }

  private CallerSettings callers() {
    CallMix mix = new CallMix(cluster.profile().mix());
    return new CallerSettings("demo", cluster.edges(), mix, RATE_PER_SECOND, 1, PATIENCE, 1);
  }

  private void awaitCalls() throws Exception {
    long goal = records.count(CallOutcome.COMPLETED) + CALLS_PER_STAGE;
    Conditions.await(
        goal + " completed calls",
        BOUND,
        () -> {
          watch.poll();
          return records.count(CallOutcome.COMPLETED) >= goal;
        });
  }

  private void killAndRestart(Version version) throws Exception {
    NodeHandle victim = cluster.backendNode(0);
    long incarnation = watch.of(victim.spec()).report().orElseThrow().incarnation();
    out.printf("killing node %s (SIGKILL, pid %d)%n", victim.spec().name(), victim.pid());
    victim.kill();
    awaitCalls();
    table.print();
    long start = System.nanoTime();
    victim.start();
    out.printf("restarting it (pid %d)%n", victim.pid());
    Conditions.await(
        victim.spec().name() + " back",
        BOUND,
        () -> {
          watch.poll();
          return watch.allRun(version);
        });
    long newer = watch.of(victim.spec()).report().orElseThrow().incarnation();
    statements.claim(
        newer != incarnation,
        "node " + victim.spec().name() + " came back with the version in force",
        millisSince(start) + " ms after its start");
  }

  private boolean verify(Version version) throws Exception {
    watch.poll();
    out.println("what this run showed:");
    statements.claim(watch.allRun(version), "every node runs the newest version", "" + version);
    statements.claimNone(watch.regressions(), "no node ever went back");
    for (RequestKind kind : cluster.profile().mix().keySet()) {
      long completed = records.count(kind, CallOutcome.COMPLETED);
      statements.claim(completed > 0, kind + " were answered", completed + " completed");
    }
    List<String> wrong = new ArrayList<>();
    records.wrongAnswers().forEach(wrong::add);
    statements.claimNone(wrong, "every answer was whole and the caller's own");
    long doubleRuns = cluster.ledger().doubleRuns();
    statements.claim(doubleRuns == 0, "no one-time request ran twice", doubleRuns + " did");
    statements.claimNone(
        RunAudit.contradictions(records, cluster.ledger()), "callers were told the truth");
    List<String> killed = cluster.stopNodes();
    statements.claimNone(killed, "every node stopped on request");
    return statements.allTrue();
  }

  private static long millisSince(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }
}
