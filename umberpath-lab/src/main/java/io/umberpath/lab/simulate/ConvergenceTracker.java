package io.umberpath.lab.simulate;

import io.umberpath.model.Version;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Measures how long accepted changes take from their submission until every process that lived at
 * the commit, and still lives, has them in force. Cut and paused processes count.
 */
final class ConvergenceTracker {
  private static final int HISTOGRAM_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000.0;

  private static final class Pending {
    private final long committedNanos;
    private int remaining;
    private final List<Long> submittedNanos = new ArrayList<>();

    private Pending(long committedNanos) {
      this.committedNanos = committedNanos;
    }
  }

  /**
   * A distribution in milliseconds.
   *
   * @param count values
   * @param p50 median
   * @param p99 99th percentile
   * @param max highest
   */
  record Distribution(long count, double p50, double p99, double max) {
    static Distribution ofMicros(Histogram histogram) {
      return new Distribution(
          histogram.getTotalCount(),
          histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
          histogram.getValueAtPercentile(99) / MICROS_PER_MILLI,
          histogram.getMaxValue() / MICROS_PER_MILLI);
    }
  }

  private final TreeMap<Version, Pending> pending = new TreeMap<>();
  private final Map<Version, Long> completed = new HashMap<>();
  private final Histogram inForce = new Histogram(HISTOGRAM_DIGITS);
  private final Histogram untilAccepted = new Histogram(HISTOGRAM_DIGITS);
  private boolean on;

  void start() {
    on = true;
  }

  void committed(Version version, List<SimulatedNode> nodes, long nowNanos) {
    Pending entry = new Pending(nowNanos);
    for (SimulatedNode node : nodes) {
      if (node.isAlive() && version.isAfter(node.active)) {
        entry.remaining++;
      }
    }
    pending.put(version, entry);
    finishIfComplete(version, entry, nowNanos);
  }

  void accepted(Version version, long submittedNanos, long nowNanos) {
    if (!on) {
      return;
    }
    untilAccepted.recordValue((nowNanos - submittedNanos) / 1_000);
    Long done = completed.get(version);
    Pending entry = pending.get(version);
    if (done != null) {
      inForce.recordValue((Math.max(done, nowNanos) - submittedNanos) / 1_000);
    } else if (entry != null) {
      entry.submittedNanos.add(submittedNanos);
    }
  }

  /** A node is about to run a later version; {@code node.active} is the one before. */
  void activating(SimulatedNode node, Version version, long nowNanos) {
    remove(node, version, nowNanos);
  }

  /** A process dies; nothing is expected of it any more. */
  void dying(SimulatedNode node, long nowNanos) {
    if (!pending.isEmpty()) {
      remove(node, pending.lastKey(), nowNanos);
    }
  }

  private void remove(SimulatedNode node, Version upTo, long nowNanos) {
    if (pending.isEmpty() || !upTo.isAfter(node.active)) {
      return;
    }
    Iterator<Map.Entry<Version, Pending>> entries =
        pending.subMap(node.active, false, upTo, true).entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Version, Pending> entry = entries.next();
      if (entry.getValue().committedNanos >= node.bornNanos && --entry.getValue().remaining == 0) {
        complete(entry.getKey(), entry.getValue(), nowNanos);
        entries.remove();
      }
    }
  }

  private void finishIfComplete(Version version, Pending entry, long nowNanos) {
    if (entry.remaining == 0) {
      complete(version, entry, nowNanos);
      pending.remove(version);
    }
  }

  private void complete(Version version, Pending entry, long nowNanos) {
    completed.put(version, nowNanos);
    for (long submitted : entry.submittedNanos) {
      inForce.recordValue((nowNanos - submitted) / 1_000);
    }
  }

  /** From submission until in force everywhere. */
  Distribution inForce() {
    return Distribution.ofMicros(inForce);
  }

  /** From submission until the operator is answered. */
  Distribution untilAccepted() {
    return Distribution.ofMicros(untilAccepted);
  }

  /** Versions not yet in force everywhere. */
  int pendingCount() {
    return pending.size();
  }
}
