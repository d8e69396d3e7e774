package io.umberpath.lab.simulate;

import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlNode;
import io.umberpath.control.ControlOutput;
import io.umberpath.control.ControlSettings;
import io.umberpath.control.ControlStatus;
import io.umberpath.lab.simulate.SimulationSettings.ControlTimings;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.ProxySnapshot;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The processes of a simulation: starts, kills, pauses and wakes them, hands them their inputs and
 * does what they ask.
 */
final class Fleet {
  private static final int PORT = 7_000;
  private static final int MAX_WAITING = 20_000;
  private static final int MAX_QUEUED_CHANGES = 1_000;
  static final int REMEMBERED_CHANGES = 4_096;
  private static final long LONGEST_CLOCK_START_MILLIS = 1_000_000;
  private static final long SHORTEST_WAKE_NANOS = Durations.MILLI;

  private final SimulationSettings settings;
  private final EventQueue queue;
  private final SplittableRandom random;
  private final ControlNodeFactory factory;
  private final TrafficMeter meter;
  private final FleetObserver observer;
  private final VirtualNetwork network;
  private final List<SimulatedNode> nodes = new ArrayList<>();
  private final Map<PeerAddress, SimulatedNode> byAddress = new HashMap<>();
  private List<PeerAddress> seeds = List.of();
  private VirtualPlatform platform;
  private long started;

  Fleet(
      SimulationSettings settings,
      EventQueue queue,
      SplittableRandom random,
      ControlNodeFactory factory,
      TrafficMeter meter,
      FleetObserver observer,
      ViolationLog violations) {
    this.settings = settings;
    this.queue = queue;
    this.random = random;
    this.factory = factory;
    this.meter = meter;
    this.observer = observer;
    this.network =
        new VirtualNetwork(
            queue,
            random.split(),
            settings.profile().zoneDelayNanos(),
            new CborMessageSizer(violations),
            meter,
            this::handle);
    for (int index = 0; index < settings.nodes(); index++) {
      addMachine();
    }
    seeds = nodes.stream().limit(settings.zones()).map(node -> node.address).toList();
  }

  /** Adds a machine at an unused address, in the zone whose turn it is; its process is not run. */
  SimulatedNode addMachine() {
    int index = nodes.size();
    int zone = index % settings.zones();
    String host = "10." + zone + "." + (index / 250) + "." + (index % 250 + 1);
    SimulatedNode node =
        new SimulatedNode(
            index,
            new PeerAddress(host, PORT),
            settings.profile().zones(settings.zones()).get(zone),
            zone,
            "region-" + zone % settings.regions());
    nodes.add(node);
    byAddress.put(node.address, node);
    return node;
  }

  void setPlatform(VirtualPlatform newPlatform) {
    platform = newPlatform;
  }

  List<SimulatedNode> nodes() {
    return nodes;
  }

  VirtualNetwork network() {
    return network;
  }

  /** Starts a fresh process, unless one runs. */
  void start(SimulatedNode node) {
    if (node.isAlive()) {
      return;
    }
    node.incarnation = ++started;
    ControlNode machine = factory.create(controlSettings(node.member()));
    node.start(machine, queue.nowNanos(), random.nextLong(LONGEST_CLOCK_START_MILLIS));
    observer.started(node);
    handle(node, new ControlInput.Tick());
  }

  private ControlSettings controlSettings(Member self) {
    ControlTimings timings = settings.control();
    return new ControlSettings(
        self,
        seeds,
        settings.firstMembers(),
        ControlSettings.QuorumRule.MAJORITY,
        timings.batchWindowMillis(),
        timings.heartbeatMillis(),
        timings.parentStallMillis(),
        timings.electionMillis(),
        timings.fanout(),
        timings.maxChildren(),
        timings.maxReaders(),
        timings.readMillis(),
        MAX_QUEUED_CHANGES,
        REMEMBERED_CHANGES);
  }

  /** Kills processes at one instant. */
  void kill(List<SimulatedNode> victims, boolean silent) {
    List<SimulatedNode> living = victims.stream().filter(SimulatedNode::isAlive).toList();
    observer.dying(living);
    living.forEach(SimulatedNode::stop);
    living.forEach(node -> network.breakConnections(node, nodes, !silent));
    observer.died(living);
  }

  void pause(SimulatedNode node) {
    node.paused = true;
  }

  /** Wakes a paused process; everything that waited arrives at once. */
  void resume(SimulatedNode node) {
    if (!node.isAlive() || !node.paused) {
      return;
    }
    node.paused = false;
    handle(node, new ControlInput.Tick());
    while (node.isRunning() && !node.waiting.isEmpty()) {
      handle(node, node.waiting.poll());
    }
  }

  /** Hands an input to a process; a paused one gets it when it wakes. */
  void handle(SimulatedNode node, ControlInput input) {
    if (!node.isAlive()) {
      return;
    }
    if (node.paused) {
      if (node.waiting.size() < MAX_WAITING && !(input instanceof ControlInput.Tick)) {
        node.waiting.add(input);
      }
      return;
    }
    ControlNode machine = node.machine;
    List<ControlOutput> outputs;
    long before = System.nanoTime();
    try {
      outputs = machine.handle(node.clockMillis(queue.nowNanos()), input);
    } catch (RuntimeException e) {
      observer.failed(node, input, e);
      kill(List.of(node), false);
      return;
    }
    meter.computed(node, System.nanoTime() - before);
    node.status = machine.status();
    observer.handled(node, input, outputs);
    node.held = node.status.heldVersion();
    for (ControlOutput output : outputs) {
      if (node.machine != machine) {
        return;
      }
      perform(node, output);
    }
    scheduleWake(node);
  }

  private void perform(SimulatedNode node, ControlOutput output) {
    if (output instanceof ControlOutput.Send send) {
      send(node, send);
    } else if (output instanceof ControlOutput.Activate activate) {
      activate(node, activate.snapshot());
    } else if (output instanceof ControlOutput.ChangeAnswered answer) {
      observer.answered(node, answer.ticket(), answer.result());
    } else if (output instanceof ControlOutput.ReadPlatform) {
      read(node);
    } else if (output instanceof ControlOutput.Disconnect disconnect) {
      SimulatedNode peer = byAddress.get(disconnect.peer());
      if (peer != null) {
        network.disconnect(node, peer);
      }
    }
  }

  private void send(SimulatedNode node, ControlOutput.Send send) {
    SimulatedNode peer = byAddress.get(send.to());
    if (peer != null) {
      int size = network.send(node, peer, send.message());
      observer.sent(node, peer, size);
    }
  }

  private void activate(SimulatedNode node, ProxySnapshot snapshot) {
    observer.activating(node, snapshot);
    node.active = snapshot.version();
    node.activeRevision = snapshot.revision();
  }

  private void read(SimulatedNode node) {
    long incarnation = node.incarnation;
    node.reads++;
    observer.reading(node);
    queue.after(
        platform.readNanos(),
        () -> {
          if (node.isAlive() && node.incarnation == incarnation) {
            node.reads--;
            handle(node, platform.answer());
          }
        });
  }

  private void scheduleWake(SimulatedNode node) {
    if (!node.isAlive()) {
      return;
    }
    long wake = node.machine.nextWakeMillis();
    if (wake == Long.MAX_VALUE) {
      return;
    }
    long due = Math.max(queue.nowNanos() + SHORTEST_WAKE_NANOS, node.nanosAtClock(wake));
    if (due < node.scheduledWakeNanos) {
      node.scheduledWakeNanos = due;
      long incarnation = node.incarnation;
      queue.at(due, () -> wake(node, incarnation, due));
    }
  }

  private void wake(SimulatedNode node, long incarnation, long dueNanos) {
    boolean current = node.isAlive() && node.incarnation == incarnation;
    if (!current || node.scheduledWakeNanos != dueNanos) {
      return;
    }
    node.scheduledWakeNanos = SimulatedNode.NO_WAKE;
    if (node.clockMillis(queue.nowNanos()) >= node.machine.nextWakeMillis()) {
      handle(node, new ControlInput.Tick());
    } else {
      scheduleWake(node);
    }
  }

  /** The running leader of the highest epoch, if any. */
  java.util.Optional<SimulatedNode> leader() {
    return nodes.stream()
        .filter(node -> node.isAlive() && node.status.role() == ControlStatus.Role.LEADER)
        .max(java.util.Comparator.comparingLong(node -> node.status.epoch()));
  }
}
