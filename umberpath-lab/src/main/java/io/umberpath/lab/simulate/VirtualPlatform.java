package io.umberpath.lab.simulate;

import io.umberpath.control.ControlInput;
import io.umberpath.lab.simulate.FaultEvent.PlatformMode;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.PlatformDocument.BackendAddress;
import io.umberpath.model.PlatformDocument.Machine;
import io.umberpath.model.PlatformDocument.MachineState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Stand-in for the platform's read-only service: one document, whose revision rises with each
 * replaced back end, and the service's faults.
 */
final class VirtualPlatform {
  private static final long READ_NANOS = 10 * Durations.MILLI;
  private static final long SLOW_READ_NANOS = 8 * Durations.SECOND;
  private static final long REFUSED_NANOS = 2 * Durations.MILLI;
  private static final int BACKEND_PORT = 8_080;
  private static final int HOP_PORT = 7_100;
  private static final int KEPT_DOCUMENTS = 32;

  private final SplittableRandom random;
  private final List<PlatformDocument> history = new ArrayList<>();
  private PlatformMode mode = PlatformMode.HEALTHY;
  private PlatformDocument frozen = PlatformDocument.NONE;
  private long replaced;

  VirtualPlatform(SplittableRandom random, List<SimulatedNode> nodes, List<String> services) {
    this.random = random;
    TreeMap<String, List<BackendAddress>> backends = new TreeMap<>();
    for (int service = 0; service < services.size(); service++) {
      List<BackendAddress> addresses = new ArrayList<>();
      for (int index = service; index < nodes.size(); index += services.size()) {
        addresses.add(backend(nodes.get(index), 0));
      }
      backends.put(services.get(service), addresses);
    }
    history.add(new PlatformDocument(1, backends, nodes.stream().map(this::machine).toList()));
  }

  private Machine machine(SimulatedNode node) {
    return new Machine(node.address, node.zone, node.region, MachineState.LIVE);
  }

  private static BackendAddress backend(SimulatedNode node, long generation) {
    return new BackendAddress(
        backendId(node.index, generation),
        node.address.host(),
        BACKEND_PORT,
        node.zone,
        node.address.host(),
        HOP_PORT);
  }

  static String backendId(int node, long generation) {
    return "b" + node + "-" + generation;
  }

  PlatformDocument document() {
    return history.get(history.size() - 1);
  }

  void setMode(PlatformMode newMode) {
    mode = newMode;
    frozen = document();
  }

  long readNanos() {
    return switch (mode) {
      case SLOW -> SLOW_READ_NANOS;
      case DOWN -> REFUSED_NANOS;
      default -> READ_NANOS;
    };
  }

  /** What a reader is told now. */
  ControlInput answer() {
    return switch (mode) {
      case DOWN -> new ControlInput.DocumentReadFailed("connection refused");
      case GARBLED -> new ControlInput.DocumentReadFailed("document is not valid JSON");
      case STALE -> new ControlInput.DocumentRead(frozen);
      case BACK -> new ControlInput.DocumentRead(history.get(0));
      case HEALTHY, SLOW -> new ControlInput.DocumentRead(document());
    };
  }

  /**
   * A back end that took the place of another.
   *
   * @param id its id
   * @param node index of the node beside it
   */
  record Replacement(String id, int node) {}

  /** Replaces a random back end by a new one at the same machine. */
  Optional<Replacement> replaceBackend() {
    PlatformDocument old = document();
    TreeMap<String, List<BackendAddress>> services = new TreeMap<>(old.services());
    List<String> names = new ArrayList<>(services.keySet());
    String name = names.get(random.nextInt(names.size()));
    List<BackendAddress> addresses = new ArrayList<>(services.get(name));
    if (addresses.isEmpty()) {
      return Optional.empty();
    }
    int place = random.nextInt(addresses.size());
    BackendAddress gone = addresses.get(place);
    int machine = Integer.parseInt(gone.id().substring(1, gone.id().indexOf('-')));
    String id = backendId(machine, ++replaced);
    addresses.set(
        place,
        new BackendAddress(
            id, gone.host(), gone.port(), gone.zone(), gone.nodeHost(), gone.nodeHopPort()));
    services.put(name, addresses);
    publish(services, old.machines());
    return Optional.of(new Replacement(id, machine));
  }

  /** Lists machines as gone and others as live, as the platform learns it. */
  void replaceMachines(List<PeerAddress> gone, List<SimulatedNode> arrived) {
    PlatformDocument old = document();
    List<Machine> machines = new ArrayList<>(old.machines());
    machines.removeIf(machine -> gone.contains(machine.control()));
    arrived.forEach(node -> machines.add(machine(node)));
    publish(new TreeMap<>(old.services()), machines);
  }

  private void publish(TreeMap<String, List<BackendAddress>> services, List<Machine> machines) {
    history.add(new PlatformDocument(document().revision() + 1, services, machines));
    if (history.size() > KEPT_DOCUMENTS) {
      history.remove(0);
    }
  }
}
