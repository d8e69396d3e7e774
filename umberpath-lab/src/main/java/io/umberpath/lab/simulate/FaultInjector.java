package io.umberpath.lab.simulate;

import io.umberpath.control.ControlInput;
import io.umberpath.lab.simulate.FaultEvent.Direction;
import io.umberpath.lab.simulate.FaultEvent.PlatformMode;
import io.umberpath.model.PeerAddress;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;

/** Makes the faults of a simulation happen. */
final class FaultInjector {
  private static final long DEFAULT_JUMP_NANOS = 30 * Durations.SECOND;
  private static final long DEFAULT_LATENESS_NANOS = 3 * Durations.SECOND;
  private static final long RESTART_SPREAD_NANOS = 200 * Durations.MILLI;

  /** A kill that waits for its victim's messages. */
  private static final class ArmedKill {
    private final FaultEvent fault;
    private int remaining;

    private ArmedKill(FaultEvent fault, int remaining) {
      this.fault = fault;
      this.remaining = remaining;
    }
  }

  private final EventQueue queue;
  private final SplittableRandom random;
  private final Fleet fleet;
  private final VirtualPlatform platform;
  private final List<ArmedKill> armed = new ArrayList<>();

  FaultInjector(EventQueue queue, SplittableRandom random, Fleet fleet, VirtualPlatform platform) {
    this.queue = queue;
    this.random = random;
    this.fleet = fleet;
    this.platform = platform;
  }

  /** Plans every fault, counted from now. */
  void plan(List<FaultEvent> faults) {
    for (FaultEvent fault : faults) {
      queue.after(fault.atNanos(), () -> begin(fault));
    }
  }

  private void begin(FaultEvent fault) {
    switch (fault.kind()) {
      case KILL -> kill(fault);
      case PAUSE -> pause(fault);
      case PARTITION -> partition(fault);
      case CLOCK_JUMP -> running(fault).forEach(node -> jump(node, fault));
      case PLATFORM -> platform(fault);
      case LOSS -> loss(fault);
      case DUPLICATION -> duplication(fault);
      case LATE -> late(fault);
      case DISCONNECT -> running(fault).forEach(this::disconnect);
      case REPLACE -> replace(fault);
      case REFORM -> reform();
      default -> throw new IllegalStateException("unknown fault " + fault.kind());
    }
  }

  private void kill(FaultEvent fault) {
    if (fault.afterSends().isPresent()) {
      armed.add(new ArmedKill(fault, fault.afterSends().get()));
    } else {
      killNow(targets(fault), fault);
    }
  }

  private void killNow(List<SimulatedNode> victims, FaultEvent fault) {
    fleet.kill(victims, fault.silent().orElse(false));
    if (fault.durationNanos() > 0) {
      for (SimulatedNode victim : victims) {
        long spread = random.nextLong(RESTART_SPREAD_NANOS);
        queue.after(fault.durationNanos() + spread, () -> fleet.start(victim));
      }
    }
  }

  /** Strikes when a leader has sent enough messages since a kill was armed. */
  void sent(SimulatedNode from) {
    if (armed.isEmpty() || from.deliveryRole() != TrafficMeter.DeliveryRole.LEADER) {
      return;
    }
    ArmedKill kill = armed.get(0);
    if (kill.remaining-- <= 0) {
      armed.remove(kill);
      killNow(List.of(from), kill.fault);
    }
  }

  private void pause(FaultEvent fault) {
    for (SimulatedNode node : running(fault)) {
      fleet.pause(node);
      queue.after(fault.durationNanos(), () -> fleet.resume(node));
    }
  }

  private void partition(FaultEvent fault) {
    BitSet group = new BitSet();
    targets(fault).forEach(node -> group.set(node.index));
    Runnable heal = fleet.network().cut(group, fault.direction().orElse(Direction.BOTH));
    queue.after(fault.durationNanos(), heal);
  }

  private void jump(SimulatedNode node, FaultEvent fault) {
    node.jumpClock(fault.byNanos(DEFAULT_JUMP_NANOS));
    fleet.handle(node, new ControlInput.Tick());
  }

  private void platform(FaultEvent fault) {
    platform.setMode(fault.mode().orElse(PlatformMode.DOWN));
    queue.after(fault.durationNanos(), () -> platform.setMode(PlatformMode.HEALTHY));
  }

  private void loss(FaultEvent fault) {
    VirtualNetwork network = fleet.network();
    network.setLoss(fault.probability().orElse(1.0));
    queue.after(fault.durationNanos(), () -> network.setLoss(0));
  }

  private void duplication(FaultEvent fault) {
    VirtualNetwork network = fleet.network();
    network.setDuplication(fault.probability().orElse(1.0));
    queue.after(fault.durationNanos(), () -> network.setDuplication(0));
  }

  private void late(FaultEvent fault) {
    VirtualNetwork network = fleet.network();
    network.setLateness(fault.probability().orElse(1.0), fault.byNanos(DEFAULT_LATENESS_NANOS));
    queue.after(fault.durationNanos(), () -> network.setLateness(0, 0));
  }

  private void disconnect(SimulatedNode node) {
    fleet.network().breakConnections(node, fleet.nodes(), true);
  }

  private void replace(FaultEvent fault) {
    List<SimulatedNode> victims = targets(fault);
    fleet.kill(victims, fault.silent().orElse(true));
    List<SimulatedNode> arrived = new ArrayList<>();
    victims.forEach(victim -> arrived.add(fleet.addMachine()));
    arrived.forEach(
        node -> queue.after(random.nextLong(RESTART_SPREAD_NANOS), () -> fleet.start(node)));
    List<PeerAddress> gone = victims.stream().map(victim -> victim.address).toList();
    queue.after(fault.durationNanos(), () -> platform.replaceMachines(gone, arrived));
  }

  /**
   * An operator gives up every machine whose process does not run, at the process that knows most.
   */
  void reform() {
    Set<PeerAddress> lost = new HashSet<>();
    fleet.nodes().stream().filter(node -> !node.isAlive()).forEach(node -> lost.add(node.address));
    fleet.nodes().stream()
        .filter(SimulatedNode::isRunning)
        .max(Comparator.comparing(node -> node.held))
        .ifPresent(
            chosen ->
                fleet.handle(chosen, new ControlInput.ReformRequested(++chosen.nextTicket, lost)));
  }

  private List<SimulatedNode> running(FaultEvent fault) {
    return targets(fault).stream().filter(SimulatedNode::isRunning).toList();
  }

  private List<SimulatedNode> targets(FaultEvent fault) {
    FaultTarget target = fault.selector();
    List<SimulatedNode> alive = fleet.nodes().stream().filter(SimulatedNode::isAlive).toList();
    return switch (target.kind()) {
      case ALL -> alive;
      case LEADER -> fleet.leader().map(List::of).orElse(List.of());
      case RELAYS ->
          alive.stream()
              .filter(node -> node.deliveryRole() == TrafficMeter.DeliveryRole.RELAY)
              .toList();
      case READERS -> alive.stream().filter(node -> node.status.reader()).toList();
      case ZONE -> alive.stream().filter(node -> node.zoneIndex == (int) target.amount()).toList();
      case ALL_BUT_ONE -> sample(alive, alive.size() - 1);
      case FRACTION -> sample(alive, (int) Math.round(alive.size() * target.amount()));
      case RANDOM -> sample(alive, (int) target.amount());
    };
  }

  private List<SimulatedNode> sample(List<SimulatedNode> nodes, int count) {
    List<SimulatedNode> shuffled = new ArrayList<>(nodes);
    Collections.shuffle(shuffled, new Random(random.nextLong()));
    return shuffled.subList(0, Math.max(0, Math.min(count, shuffled.size())));
  }
}
