package io.umberpath.lab.cluster;

import io.umberpath.model.Version;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Polls every node's version in force and remembers whether any went back, also over a restart.
 * Thread-safe.
 */
public final class VersionWatch {
  private final AdminClient admin = new AdminClient();
  private final List<NodeHandle> nodes;
  private final Map<String, Seen> seen = new HashMap<>();
  private final List<String> regressions = new ArrayList<>();

  /**
   * The newest that was seen of a node.
   *
   * @param version version in force
   * @param revision platform revision in force
   * @param report the report it was read from; empty while the node does not answer
   */
  public record Seen(Version version, long revision, Optional<NodeReport> report) {}

  VersionWatch(List<NodeHandle> nodes) {
    this.nodes = List.copyOf(nodes);
  }

  /** Reads every node once. */
  public void poll() throws InterruptedException {
    for (NodeHandle node : nodes) {
      Optional<NodeReport> report = admin.status(node.spec());
      record(node.spec().name(), report);
    }
  }

  private synchronized void record(String name, Optional<NodeReport> report) {
    Seen before = seen.getOrDefault(name, new Seen(Version.NONE, 0, Optional.empty()));
    if (report.isEmpty()) {
      seen.put(name, new Seen(before.version(), before.revision(), report));
      return;
    }
    Version version = parse(report.get().active());
    long revision = report.get().activeRevision();
    boolean inForce = !version.equals(Version.NONE);
    if (inForce && (before.version().isAfter(version) || revision < before.revision())) {
      regressions.add(
          "%s went from %s/%d to %s/%d"
              .formatted(name, before.version(), before.revision(), version, revision));
    }
    Version newest = inForce ? version : before.version();
    seen.put(name, new Seen(newest, inForce ? revision : before.revision(), report));
  }

  /** The newest seen of a node. */
  public synchronized Seen of(NodeSpec node) {
    return seen.getOrDefault(node.name(), new Seen(Version.NONE, 0, Optional.empty()));
  }

  /** Every step back that was seen, described. */
  public synchronized List<String> regressions() {
    return List.copyOf(regressions);
  }

  /** Whether every node answers and runs at least this version. */
  public synchronized boolean allRun(Version version) {
    return nodes.stream()
        .map(node -> of(node.spec()))
        .allMatch(
            last ->
                last.report()
                    .map(report -> !version.isAfter(parse(report.active())))
                    .orElse(false));
  }

  private static Version parse(String text) {
    int dot = text.indexOf('.');
    return new Version(
        Long.parseLong(text.substring(0, dot)), Long.parseLong(text.substring(dot + 1)));
  }
}
