package io.umberpath.lab.simulate;

import io.umberpath.control.ControlMessage;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Counts control bytes, messages and processor time, by node, by role and by kind of message, while
 * it is on. Bytes of a node are those it sent plus those it received.
 */
final class TrafficMeter {
  private static final double PERCENT_99 = 99;
  private static final int HISTOGRAM_DIGITS = 3;

  /** Part a node plays in the delivery. */
  enum DeliveryRole {
    /** Orders changes. */
    LEADER,
    /** Has children. */
    RELAY,
    /** Has none. */
    LEAF
  }

  /** Counters of one node since measuring began. */
  static final class NodeTraffic {
    private long bytes;
    private final long[] bytesByRole = new long[DeliveryRole.values().length];
    private final long[] cpuNanosByRole = new long[DeliveryRole.values().length];
    private final long[] sampledSecondsByRole = new long[DeliveryRole.values().length];
  }

  /** Messages and bytes of one kind. */
  static final class KindCount {
    private long messages;
    private long bytes;

    /** Messages sent. */
    public long getMessages() {
      return messages;
    }

    /** Bytes sent. */
    public long getBytes() {
      return bytes;
    }
  }

  /**
   * Load on the nodes of one role, averaged over the seconds nodes spent in it.
   *
   * @param nodeSeconds seconds nodes spent in the role
   * @param bytesPerSecond bytes sent and received per node and second
   * @param cpuMicrosPerSecond measured processor time of the state machine per node and virtual
   *     second; differs between runs
   */
  record RoleLoad(long nodeSeconds, double bytesPerSecond, double cpuMicrosPerSecond) {}

  /**
   * Bytes per node and second over all nodes.
   *
   * @param mean mean over nodes
   * @param p99 99th percentile over nodes
   * @param max highest node
   */
  record BytesPerSecond(double mean, long p99, long max) {}

  private final Map<String, KindCount> kinds = new TreeMap<>();
  private boolean on;
  private long startedNanos;
  private long stoppedNanos;
  private long messages;

  void start(long nowNanos) {
    on = true;
    startedNanos = nowNanos;
  }

  void stop(long nowNanos) {
    on = false;
    stoppedNanos = nowNanos;
  }

  void sent(SimulatedNode from, ControlMessage message, int size) {
    if (on) {
      messages++;
      KindCount kind =
          kinds.computeIfAbsent(message.getClass().getSimpleName(), name -> new KindCount());
      kind.messages++;
      kind.bytes += size;
      add(from, size);
    }
  }

  void received(SimulatedNode to, int size) {
    if (on) {
      add(to, size);
    }
  }

  private static void add(SimulatedNode node, int size) {
    node.traffic.bytes += size;
    node.traffic.bytesByRole[node.deliveryRole().ordinal()] += size;
  }

  void computed(SimulatedNode node, long cpuNanos) {
    if (on) {
      node.traffic.cpuNanosByRole[node.deliveryRole().ordinal()] += cpuNanos;
    }
  }

  /** Counts one second of each live node in its role; called each virtual second. */
  void sampleRoles(List<SimulatedNode> nodes) {
    if (on) {
      for (SimulatedNode node : nodes) {
        if (node.isAlive()) {
          node.traffic.sampledSecondsByRole[node.deliveryRole().ordinal()]++;
        }
      }
    }
  }

  long messages() {
    return messages;
  }

  Map<String, KindCount> kinds() {
    return kinds;
  }

  BytesPerSecond bytesPerSecond(List<SimulatedNode> nodes) {
    double seconds = Math.max(1.0, (stoppedNanos - startedNanos) / (double) Durations.SECOND);
    Histogram histogram = new Histogram(HISTOGRAM_DIGITS);
    long total = 0;
    for (SimulatedNode node : nodes) {
      histogram.recordValue(Math.round(node.traffic.bytes / seconds));
      total += node.traffic.bytes;
    }
    return new BytesPerSecond(
        total / seconds / Math.max(1, nodes.size()),
        histogram.getValueAtPercentile(PERCENT_99),
        histogram.getMaxValue());
  }

  Map<DeliveryRole, RoleLoad> roles(List<SimulatedNode> nodes) {
    Map<DeliveryRole, RoleLoad> loads = new EnumMap<>(DeliveryRole.class);
    for (DeliveryRole role : DeliveryRole.values()) {
      loads.put(role, load(nodes, role.ordinal()));
    }
    return loads;
  }

  private static RoleLoad load(List<SimulatedNode> nodes, int role) {
    long seconds = 0;
    long bytes = 0;
    long nanos = 0;
    for (SimulatedNode node : nodes) {
      seconds += node.traffic.sampledSecondsByRole[role];
      bytes += node.traffic.bytesByRole[role];
      nanos += node.traffic.cpuNanosByRole[role];
    }
    double divisor = Math.max(1, seconds);
    return new RoleLoad(seconds, bytes / divisor, nanos / 1_000.0 / divisor);
  }
}
