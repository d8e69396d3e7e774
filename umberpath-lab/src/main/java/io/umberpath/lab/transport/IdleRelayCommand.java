package io.umberpath.lab.transport;

import io.umberpath.lab.JavaProcess;
import io.umberpath.lab.OptionsCommand;
import io.umberpath.model.PeerAddress;
import io.umberpath.transport.Transport.Traffic;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Option;

/**
 * {@code umberpath-lab idle-relay}: what a relay costs while nothing changes. The relay runs in
 * this process alone; its children run together in a second one.
 */
public final class IdleRelayCommand extends OptionsCommand {
  private static final List<String> CHILDREN_JAVA_OPTIONS = List.of("-Xmx256m");
  private static final long POLL_MILLIS = 100;
  private static final long POLLS_PER_PROGRESS = 50;
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final double MEBIBYTE = 1 << 20;

  private final Class<?> entryPoint;

  @Option(name = "--children", metaVar = "N", usage = "children of the relay (default 16)")
  private int children = 16;

  @Option(name = "--heartbeat-millis", metaVar = "MS", usage = "heartbeat (default 1000)")
  private long heartbeatMillis = 1_000;

  @Option(name = "--seconds", metaVar = "S", usage = "length of the measurement (default 60)")
  private long seconds = 60;

  @Option(name = "--warm-up-seconds", metaVar = "S", usage = "time before it (default 30)")
  private long warmUpSeconds = 30;

  @Option(name = "--join", metaVar = "IP:PORT", usage = "run the children of that relay instead")
  private String join;

  /**
   * Creates the command.
   *
   * @param entryPoint class whose main method runs this command again, in a process of its own
   */
  public IdleRelayCommand(Class<?> entryPoint) {
    this.entryPoint = entryPoint;
  }

  @Override
  public String name() {
    return "idle-relay";
  }

  @Override
  public String summary() {
    return "measure CPU, heap and bytes of an idle relay with its children";
  }

  @Override
  protected int run(PrintStream out) throws Exception {
    if (join != null) {
      runChildren(PeerAddress.parse(join));
      return EXIT_SUCCESS;
    }
    try (IdleNode relay = new IdleNode(List.of(), "zone-relay", children, heartbeatMillis)) {
      Process others = startChildren(relay.address());
      try {
        awaitChildren(relay, others);
        TimeUnit.SECONDS.sleep(warmUpSeconds);
        measure(relay, out);
      } finally {
        others.destroy();
      }
    }
    return EXIT_SUCCESS;
  }

  private void runChildren(PeerAddress relay) throws IOException, InterruptedException {
    List<IdleNode> nodes = new ArrayList<>();
    for (int index = 0; index < children; index++) {
      nodes.add(new IdleNode(List.of(relay), "zone-" + index, children, heartbeatMillis));
    }
    while (!nodes.isEmpty()) {
      TimeUnit.SECONDS.sleep(1);
    }
  }

  private Process startChildren(PeerAddress relay) throws IOException {
    List<String> arguments =
        List.of(
            name(),
            "--join",
            relay.toString(),
            "--children",
            Integer.toString(children),
            "--heartbeat-millis",
            Long.toString(heartbeatMillis));
    return JavaProcess.prepare(CHILDREN_JAVA_OPTIONS, entryPoint, arguments).inheritIO().start();
  }

  private void awaitChildren(IdleNode relay, Process others) throws InterruptedException {
    int members = children + 1;
    long polls = 0;
    while (relay.runtime().status().committed().roster().size() != members
        || relay.runtime().status().children() != children) {
      if (!others.isAlive()) {
        throw new IllegalStateException("the children's process ended");
      }
      if (polls++ % POLLS_PER_PROGRESS == 0) {
        System.err.printf(
            "waiting: %d of %d members, %d of %d children%n",
            relay.runtime().status().committed().roster().size(),
            members,
            relay.runtime().status().children(),
            children);
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  private void measure(IdleNode relay, PrintStream out) throws Exception {
    Traffic before = relay.transport().traffic();
    long cpuBefore = cpuNanos();
    long timeBefore = System.nanoTime();
    TimeUnit.SECONDS.sleep(seconds);
    double elapsed = (System.nanoTime() - timeBefore) / NANOS_PER_SECOND;
    double cpu = (cpuNanos() - cpuBefore) / NANOS_PER_SECOND;
    Traffic after = relay.transport().traffic();
    out.printf("children %d, heartbeat %d ms, %.1f s%n", children, heartbeatMillis, elapsed);
    out.printf("CPU %.3f %% of a core%n", 100 * cpu / elapsed);
    print(
        out, "sent", after.sentBytes() - before.sentBytes(), messagesSent(before, after), elapsed);
    print(
        out,
        "received",
        after.receivedBytes() - before.receivedBytes(),
        after.receivedMessages() - before.receivedMessages(),
        elapsed);
    System.gc();
    Runtime java = Runtime.getRuntime();
    out.printf(
        "heap in use after a collection %.1f MiB, limit %.0f MiB%n",
        (java.totalMemory() - java.freeMemory()) / MEBIBYTE, java.maxMemory() / MEBIBYTE);
    out.printf(
        "resident %s, threads %d%n",
        resident(), ManagementFactory.getThreadMXBean().getThreadCount());
    out.printf("faults %s%n", relay.transport().faultCounts());
  }

  private static long messagesSent(Traffic before, Traffic after) {
    return after.sentMessages() - before.sentMessages();
  }

  private void print(PrintStream out, String direction, long bytes, long messages, double elapsed) {
    out.printf(
        "%s %.1f bytes/s, %.2f messages/s, %.1f bytes/message, %.1f bytes/s per child%n",
        direction,
        bytes / elapsed,
        messages / elapsed,
        (double) bytes / Math.max(1, messages),
        bytes / elapsed / children);
  }

  private static long cpuNanos() {
    var system = ManagementFactory.getOperatingSystemMXBean();
    return ((com.sun.management.OperatingSystemMXBean) system).getProcessCpuTime();
  }

  private static String resident() throws IOException {
    return Files.readAllLines(Path.of("/proc/self/status")).stream()
        .filter(line -> line.startsWith("VmRSS:"))
        .map(line -> line.substring("VmRSS:".length()).strip())
        .findFirst()
        .orElse("unknown");
  }
}
