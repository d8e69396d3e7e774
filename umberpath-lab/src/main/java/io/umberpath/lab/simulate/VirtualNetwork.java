package io.umberpath.lab.simulate;

import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlMessage;
import io.umberpath.lab.simulate.FaultEvent.Direction;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;

/**
 * Connections between simulated nodes: delay by zone and region, jitter, bandwidth of the sender,
 * order per connection; and, as faults, loss, duplication, lateness and partitions. A message in
 * flight to a process that has died is lost or, like one queued for a reconnect, reaches its
 * successor.
 */
final class VirtualNetwork {
  private static final long LOOPBACK_NANOS = 20_000;
  private static final long SAME_ZONE_NANOS = 250_000;
  private static final long REGION_NANOS = 40 * Durations.MILLI;
  private static final double JITTER = 0.1;
  private static final long DUPLICATE_GAP_NANOS = 3 * Durations.MILLI;

  /** 100 Mbit/s. */
  private static final long EGRESS_NANOS_PER_BYTE = 80;

  /** Order of arrival between two nodes, both ways. */
  static final class Connection {
    private final long[] lastArrivalNanos = new long[2];
  }

  /** A partition in force. */
  private record Cut(BitSet group, Direction direction) {
    boolean blocks(SimulatedNode from, SimulatedNode to) {
      boolean fromInside = group.get(from.index);
      boolean toInside = group.get(to.index);
      return fromInside != toInside
          && (direction == Direction.BOTH || (direction == Direction.IN) == toInside);
    }
  }

  private final EventQueue queue;
  private final SplittableRandom random;
  private final long zoneDelayNanos;
  private final MessageSizer sizer;
  private final TrafficMeter meter;
  private final BiConsumer<SimulatedNode, ControlInput> receiver;
  private final List<Cut> cuts = new ArrayList<>();
  private double lossProbability;
  private double duplicateProbability;
  private double lateProbability;
  private long lateNanos;

  VirtualNetwork(
      EventQueue queue,
      SplittableRandom random,
      long zoneDelayNanos,
      MessageSizer sizer,
      TrafficMeter meter,
      BiConsumer<SimulatedNode, ControlInput> receiver) {
    this.queue = queue;
    this.random = random;
    this.zoneDelayNanos = zoneDelayNanos;
    this.sizer = sizer;
    this.meter = meter;
    this.receiver = receiver;
  }

  void setLoss(double probability) {
    lossProbability = probability;
  }

  void setDuplication(double probability) {
    duplicateProbability = probability;
  }

  void setLateness(double probability, long nanos) {
    lateProbability = probability;
    lateNanos = nanos;
  }

  /** Cuts a group off from the others; returns the action that heals the cut. */
  Runnable cut(BitSet group, Direction direction) {
    Cut cut = new Cut((BitSet) group.clone(), direction);
    cuts.add(cut);
    return () -> cuts.removeIf(other -> other == cut);
  }

  /** Names the part of the fleet a node is in; nodes of one part can reach each other. */
  long partOf(SimulatedNode node) {
    long part = 0;
    for (Cut cut : cuts) {
      part = part * 2 + (cut.group.get(node.index) ? 1 : 0);
    }
    return part;
  }

  /**
   * Sends a message; it may be lost.
   *
   * @return its size
   */
  int send(SimulatedNode from, SimulatedNode to, ControlMessage message) {
    int size = sizer.sizeBytes(message);
    meter.sent(from, message, size);
    if (!to.isAlive()) {
      refuse(from, to);
      return size;
    }
    if (isBlocked(from, to) || hits(lossProbability)) {
      return size;
    }
    long departure =
        Math.max(queue.nowNanos(), from.egressFreeNanos) + size * EGRESS_NANOS_PER_BYTE;
    from.egressFreeNanos = departure;
    Connection connection = from.connections.get(to.index);
    if (connection == null) {
      connection = connect(from, to);
      departure += 2 * baseDelayNanos(from, to);
    }
    schedule(from, to, message, size, arrival(connection, from, to, departure));
    return size;
  }

  private Connection connect(SimulatedNode from, SimulatedNode to) {
    Connection connection = new Connection();
    from.connections.put(to.index, connection);
    to.connections.put(from.index, connection);
    return connection;
  }

  private long arrival(
      Connection connection, SimulatedNode from, SimulatedNode to, long departureNanos) {
    double jitter = 1 + JITTER * random.nextExponential();
    long arrival = departureNanos + Math.round(baseDelayNanos(from, to) * jitter);
    if (hits(lateProbability)) {
      return arrival + random.nextLong(lateNanos + 1);
    }
    int way = from.index < to.index ? 0 : 1;
    arrival = Math.max(arrival, connection.lastArrivalNanos[way] + 1);
    connection.lastArrivalNanos[way] = arrival;
    return arrival;
  }

  private void schedule(
      SimulatedNode from, SimulatedNode to, ControlMessage message, int size, long arrivalNanos) {
    long sender = from.incarnation;
    long addressee = to.incarnation;
    Runnable arrive = () -> arrive(from, sender, to, addressee, message, size);
    queue.at(arrivalNanos, arrive);
    if (hits(duplicateProbability)) {
      queue.at(arrivalNanos + random.nextLong(DUPLICATE_GAP_NANOS), arrive);
    }
  }

  private void arrive(
      SimulatedNode from,
      long sender,
      SimulatedNode to,
      long addressee,
      ControlMessage message,
      int size) {
    if (isBlocked(from, to)) {
      return;
    }
    boolean senderLives = from.isAlive() && from.incarnation == sender;
    if (!to.isAlive()) {
      if (senderLives) {
        refuse(from, to);
      }
      return;
    }
    if (to.incarnation != addressee && !(senderLives && random.nextBoolean())) {
      return;
    }
    meter.received(to, size);
    receiver.accept(to, new ControlInput.MessageReceived(from.address, message));
  }

  private void refuse(SimulatedNode from, SimulatedNode to) {
    if (!isBlocked(from, to) && !isBlocked(to, from)) {
      unreachable(from, to, 2 * baseDelayNanos(from, to));
    }
  }

  private void unreachable(SimulatedNode observer, SimulatedNode peer, long delayNanos) {
    long incarnation = observer.incarnation;
    queue.after(
        delayNanos,
        () -> {
          if (observer.isAlive() && observer.incarnation == incarnation) {
            receiver.accept(observer, new ControlInput.PeerUnreachable(peer.address));
          }
        });
  }

  /** Forgets a connection that its owner no longer needs. */
  void disconnect(SimulatedNode from, SimulatedNode to) {
    from.connections.remove(to.index);
    to.connections.remove(from.index);
  }

  /**
   * Breaks every connection of a node.
   *
   * @param nodes all nodes by index
   * @param told whether the other ends notice
   */
  void breakConnections(SimulatedNode node, List<SimulatedNode> nodes, boolean told) {
    List<Integer> peers = new ArrayList<>(node.connections.keySet());
    peers.sort(Integer::compare);
    for (int index : peers) {
      SimulatedNode peer = nodes.get(index);
      disconnect(node, peer);
      if (told && peer.isAlive() && !isBlocked(node, peer)) {
        unreachable(peer, node, baseDelayNanos(node, peer));
      }
      if (told && node.isAlive()) {
        unreachable(node, peer, baseDelayNanos(node, peer));
      }
    }
  }

  private boolean isBlocked(SimulatedNode from, SimulatedNode to) {
    for (Cut cut : cuts) {
      if (cut.blocks(from, to)) {
        return true;
      }
    }
    return false;
  }

  private boolean hits(double probability) {
    return probability > 0 && random.nextDouble() < probability;
  }

  private long baseDelayNanos(SimulatedNode from, SimulatedNode to) {
    if (from == to) {
      return LOOPBACK_NANOS;
    }
    if (!from.region.equals(to.region)) {
      return REGION_NANOS;
    }
    return from.zoneIndex == to.zoneIndex ? SAME_ZONE_NANOS : zoneDelayNanos;
  }
}
