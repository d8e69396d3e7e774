package io.umberpath.control;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.umberpath.control.ControlMessage.DocumentDelta;
import io.umberpath.control.ControlMessage.ServiceChange;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.PlatformDocument.BackendAddress;
import io.umberpath.model.PlatformDocument.Machine;
import io.umberpath.model.Violation;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/** Computes and applies deltas between revisions of the platform document. */
final class DocumentDeltas {
  private DocumentDeltas() {}

  /** Computes the delta that leads from one document to the other. */
  static DocumentDelta between(PlatformDocument base, PlatformDocument target) {
    List<String> removed = new ArrayList<>(base.services().keySet());
    removed.removeAll(target.services().keySet());
    List<ServiceChange> services = new ArrayList<>();
    target
        .services()
        .forEach(
            (name, backends) -> {
              List<BackendAddress> before = base.services().get(name);
              if (!backends.equals(before)) {
                services.add(serviceChange(name, before == null ? List.of() : before, backends));
              }
            });
    Map<PeerAddress, Machine> machines = machinesByAddress(base);
    List<Machine> changed = new ArrayList<>();
    for (Machine machine : target.machines()) {
      if (!machine.equals(machines.remove(machine.control()))) {
        changed.add(machine);
      }
    }
    boolean fromNothing = base.revision() == 0;
    return new DocumentDelta(
        base.revision(),
        fromNothing ? 0 : hash(base),
        target.revision(),
        hash(target),
        removed,
        services,
        List.copyOf(machines.keySet()),
        changed);
  }

  private static ServiceChange serviceChange(
      String name, List<BackendAddress> before, List<BackendAddress> after) {
    Map<String, BackendAddress> old = byId(before);
    List<BackendAddress> changed = new ArrayList<>();
    for (BackendAddress backend : after) {
      if (!backend.equals(old.remove(backend.id()))) {
        changed.add(backend);
      }
    }
    return new ServiceChange(name, List.copyOf(old.keySet()), changed);
  }

  /**
   * Applies a delta completely; returns the resulting document, or the reason why the delta does
   * not apply.
   */
  static Either<Violation, PlatformDocument> apply(DocumentDelta delta, PlatformDocument base) {
    if (delta.base() != base.revision() || (delta.base() != 0 && delta.baseHash() != hash(base))) {
      return Either.left(
          new Violation(
              "document.base", Long.toString(base.revision()), "applies to " + delta.base()));
    }
    TreeMap<String, List<BackendAddress>> services = new TreeMap<>(base.services());
    delta.removedServices().forEach(services::remove);
    for (ServiceChange change : delta.services()) {
      Map<String, BackendAddress> backends =
          byId(services.getOrDefault(change.name(), List.<BackendAddress>of()));
      change.removed().forEach(backends::remove);
      change.changed().forEach(backend -> backends.put(backend.id(), backend));
      services.put(change.name(), List.copyOf(backends.values()));
    }
    Map<PeerAddress, Machine> machines = machinesByAddress(base);
    delta.removedMachines().forEach(machines::remove);
    delta.machines().forEach(machine -> machines.put(machine.control(), machine));
    PlatformDocument result =
        new PlatformDocument(delta.revision(), services, List.copyOf(machines.values()));
    long hash = hash(result);
    return hash == delta.hash()
        ? Either.right(result)
        : Either.left(
            new Violation(
                "document.hash", Long.toHexString(hash), "hash mismatch at " + delta.revision()));
  }

  /** Hash of the content, independent of the order of backends and machines. */
  static long hash(PlatformDocument document) {
    long sum = document.revision();
    for (Map.Entry<String, List<BackendAddress>> entry : document.services().entrySet()) {
      sum += textHash(entry.getKey());
      for (BackendAddress backend : entry.getValue()) {
        sum += textHash(entry.getKey() + backend);
      }
    }
    for (Machine machine : document.machines()) {
      sum += textHash(Objects.toString(machine));
    }
    return sum;
  }

  private static long textHash(String value) {
    Hasher hasher = Hashing.murmur3_128().newHasher();
    return hasher.putString(value, StandardCharsets.UTF_8).hash().asLong();
  }

  private static Map<String, BackendAddress> byId(List<BackendAddress> backends) {
    Map<String, BackendAddress> byId = new LinkedHashMap<>();
    backends.forEach(backend -> byId.put(backend.id(), backend));
    return byId;
  }

  private static Map<PeerAddress, Machine> machinesByAddress(PlatformDocument document) {
    Map<PeerAddress, Machine> machines = new LinkedHashMap<>();
    document.machines().forEach(machine -> machines.put(machine.control(), machine));
    return machines;
  }
}
