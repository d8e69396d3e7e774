package io.umberpath.lab.simulate;

import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlNode;
import io.umberpath.control.ControlStatus;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Version;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * One machine's place in the fleet and the process that runs there now, if any. A plain holder of
 * state that {@link Fleet} and {@link VirtualNetwork} work on; fields are package-private for them.
 */
final class SimulatedNode {
  /** Wake time of a process that waits for nothing. */
  static final long NO_WAKE = Long.MAX_VALUE;

  final int index;
  final PeerAddress address;
  final String zone;
  final int zoneIndex;
  final String region;

  /** Null while no process runs. */
  ControlNode machine;

  /** Set from the last handled input. */
  ControlStatus status;

  long incarnation;
  long bornNanos;
  boolean paused;
  final Deque<ControlInput> waiting = new ArrayDeque<>();
  private long clockOffsetMillis;
  long scheduledWakeNanos = NO_WAKE;
  long nextTicket;
  int reads;

  /** Last committed state the checker has looked at. */
  io.umberpath.model.FleetState committedSeen = io.umberpath.model.FleetState.EMPTY;

  Version held = Version.NONE;
  Version active = Version.NONE;
  long activeRevision;

  final Map<Integer, VirtualNetwork.Connection> connections = new HashMap<>();
  long egressFreeNanos;
  final TrafficMeter.NodeTraffic traffic = new TrafficMeter.NodeTraffic();

  SimulatedNode(int index, PeerAddress address, String zone, int zoneIndex, String region) {
    this.index = index;
    this.address = address;
    this.zone = zone;
    this.zoneIndex = zoneIndex;
    this.region = region;
  }

  boolean isAlive() {
    return machine != null;
  }

  boolean isRunning() {
    return machine != null && !paused;
  }

  Member member() {
    return new Member(Member.NO_SLOT, address, incarnation, zone, region);
  }

  /** Puts a fresh process in place, with nothing remembered. */
  void start(ControlNode newMachine, long nowNanos, long clockStartMillis) {
    machine = newMachine;
    status = newMachine.status();
    bornNanos = nowNanos;
    paused = false;
    clockOffsetMillis = clockStartMillis - nowNanos / Durations.MILLI;
    scheduledWakeNanos = NO_WAKE;
    egressFreeNanos = nowNanos;
    forget();
  }

  /** Ends the process and with it everything it remembered. */
  void stop() {
    machine = null;
    status = null;
    forget();
  }

  private void forget() {
    waiting.clear();
    reads = 0;
    committedSeen = io.umberpath.model.FleetState.EMPTY;
    held = Version.NONE;
    active = Version.NONE;
    activeRevision = 0;
  }

  long clockMillis(long nowNanos) {
    return nowNanos / Durations.MILLI + clockOffsetMillis;
  }

  long nanosAtClock(long clockMillis) {
    return (clockMillis - clockOffsetMillis) * Durations.MILLI;
  }

  void jumpClock(long nanos) {
    clockOffsetMillis += nanos / Durations.MILLI;
  }

  /** Which part it plays in the delivery, for accounting. */
  TrafficMeter.DeliveryRole deliveryRole() {
    if (status != null && status.role() == ControlStatus.Role.LEADER) {
      return TrafficMeter.DeliveryRole.LEADER;
    }
    return status != null && status.children() > 0
        ? TrafficMeter.DeliveryRole.RELAY
        : TrafficMeter.DeliveryRole.LEAF;
  }

  @Override
  public String toString() {
    return "node " + index + " (" + address + ", incarnation " + incarnation + ")";
  }
}
